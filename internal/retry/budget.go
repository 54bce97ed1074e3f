package retry

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/result"
)

// Budget is the retry budget of one group on one instance: a token bucket in which one
// token pays for one retry.
type Budget struct {
	cfg   Config
	gauge prometheus.Gauge

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// initialTokens is the number of retries that a new budget allows. A process that has just
// started has not earned any. When all instances restart at once, full budgets would let
// them send members up to twice the load of the callers in the very second in which all
// callers return. A single request can still use all its attempts.
const initialTokens = 3

// New returns a Budget that allows a few retries.
func New(cfg Config) *Budget {
	cfg = cfg.withDefaults()
	return &Budget{
		cfg:        cfg,
		gauge:      cfg.Metrics.budget.WithLabelValues(cfg.Group),
		tokens:     min(initialTokens, cfg.Burst),
		refilledAt: cfg.Clock.Now(),
	}
}

// RecordRequest counts a first attempt, which adds Config.Ratio tokens.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addTokens(b.cfg.Ratio)
}

// ReserveRetry returns the pause before the next attempt of a read, or of a write that was provably
// not sent. If the request must not be retried, it returns an error with the code
// RetryBudgetSpent or DeadlineTooShort.
func (b *Budget) ReserveRetry(a Attempt) (time.Duration, *result.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	b.refill(now)
	pause := max(b.backoff(a.Number), a.RetryAfter)
	if !now.Add(pause).Before(a.Deadline) {
		b.countOutcome(a, outcomeDeadline)
		return 0, result.New(result.DeadlineTooShort, "no time for a retry: %s", a.Reason).WithRetryAfter(pause)
	}
	if b.tokens < 1 {
		b.countOutcome(a, outcomeBudget)
		return 0, result.New(result.RetryBudgetSpent, "group %s: %s", b.cfg.Group, a.Reason).WithRetryAfter(b.timeToNextToken())
	}
	b.addTokens(-1)
	b.countOutcome(a, outcomeRetried)
	return pause, nil
}

// Wait calls ReserveRetry and waits for the pause that it returns. It returns nil when the next
// attempt may begin.
func (b *Budget) Wait(ctx context.Context, a Attempt) error {
	pause, refusal := b.ReserveRetry(a)
	if refusal != nil {
		return refusal
	}
	if err := clock.Sleep(ctx, b.cfg.Clock, pause); err != nil {
		b.ReturnRetry()
		return result.New(result.DeadlineTooShort, "gave up before a retry: %s", a.Reason).WithCause(err)
	}
	return nil
}

// Available returns how many retries the budget allows now.
func (b *Budget) Available() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(b.cfg.Clock.Now())
	return max(int(b.tokens), 0)
}

// refill adds the tokens that were earned by time.
func (b *Budget) refill(now time.Time) {
	b.addTokens(now.Sub(b.refilledAt).Seconds() * b.cfg.PerSecond)
	b.refilledAt = now
}

// ReturnRetry returns the token of a reserved retry that is not made after all.
func (b *Budget) ReturnRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addTokens(1)
}

// addTokens adds tokens, up to the maximum. A negative number removes them.
func (b *Budget) addTokens(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.cfg.Burst)
	b.gauge.Set(b.tokens)
}

// timeToNextToken returns the time until the budget allows one retry at the steady rate. It
// is at least a millisecond, because sums of tenths can be slightly less than one.
func (b *Budget) timeToNextToken() time.Duration {
	return max(time.Duration((1-b.tokens)/b.cfg.PerSecond*float64(time.Second)), time.Millisecond)
}

// backoff returns the pause after a failed attempt. It doubles with each attempt, from
// MinBackoff to MaxBackoff. Jitter between half of the value and the whole value keeps
// callers that failed together from retrying together.
func (b *Budget) backoff(number int) time.Duration {
	d := b.cfg.MinBackoff
	for i := 1; i < number && d < b.cfg.MaxBackoff; i++ {
		d *= 2
	}
	d = min(d, b.cfg.MaxBackoff)
	return d/2 + time.Duration(b.cfg.Rand.Int64N(int64(d/2)+1))
}

func (b *Budget) countOutcome(a Attempt, outcome string) {
	b.cfg.Metrics.retries.WithLabelValues(b.cfg.Group, string(a.Reason), outcome).Inc()
}
