package instance

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/config"
	"github.com/topazrock/topazrock/internal/executor"
	"github.com/topazrock/topazrock/internal/failover"
	"github.com/topazrock/topazrock/internal/features"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/homechoice"
	"github.com/topazrock/topazrock/internal/memberhealth"
	"github.com/topazrock/topazrock/internal/membership"
	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/pool"
	"github.com/topazrock/topazrock/internal/quota"
	"github.com/topazrock/topazrock/internal/retry"
	"github.com/topazrock/topazrock/internal/shares"
)

// metrics holds the metrics of every component, registered once per instance.
type metrics struct {
	admission    *admission.Metrics
	config       *config.Metrics
	executor     *executor.Metrics
	failover     *failover.Metrics
	features     *features.Metrics
	group        *group.Metrics
	memberHealth *memberhealth.Metrics
	membership   *membership.Metrics
	objectwatch  *objectwatch.Metrics
	peer         *peer.Metrics
	pool         *pool.Metrics
	quota        *quota.Metrics
	retry        *retry.Metrics
	shares       *shares.Metrics
	equalShares  *shares.EqualMetrics
	homechoice   *homechoice.Metrics
}

func newMetrics(r *prometheus.Registry) *metrics {
	return &metrics{
		admission:    admission.NewMetrics(r),
		config:       config.NewMetrics(r),
		executor:     executor.NewMetrics(r),
		failover:     failover.NewMetrics(r),
		features:     features.NewMetrics(r),
		group:        group.NewMetrics(r),
		memberHealth: memberhealth.NewMetrics(r),
		membership:   membership.NewMetrics(r),
		objectwatch:  objectwatch.NewMetrics(r),
		peer:         peer.NewMetrics(r),
		pool:         pool.NewMetrics(r),
		quota:        quota.NewMetrics(r),
		retry:        retry.NewMetrics(r),
		shares:       shares.NewMetrics(r),
		equalShares:  shares.NewEqualMetrics(r),
		homechoice:   homechoice.NewMetrics(r),
	}
}
