package objectwatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

const (
	// returnListTimeout bounds the transfer of a list from an instance that is known to have it. A list
	// of some thousand objects takes longer than a short call over a narrow link.
	returnListTimeout = time.Second
	// returnRounds is the number of rounds in which an instance that returns looks for others that have
	// the list, and askedPerRound the number of instances besides the readers that it asks in each. So
	// many instances have hardly all restarted at the same time.
	returnRounds  = 2
	askedPerRound = 6
	// maxReturnListAge is the largest age of a list that an instance begins with when it returns. The
	// next check of the follower makes it current.
	maxReturnListAge = 5 * time.Second
)

// listOnReturn requests the first list of an instance that returns to a running fleet: from the readers,
// or from some other instances of the failure domain, which have what the readers told them. If all
// instances that return listed from the platform instead, its link would be full until their calls time
// out. The error is errNoReader.
func (a *SharedAPI) listOnReturn(ctx context.Context) (response, error) {
	readers := a.sharing.readers()
	if len(readers) == 0 {
		return response{}, errNoReader
	}
	others := a.sharing.pickLocal(returnRounds*askedPerRound, readers)
	for round := range returnRounds {
		first, end := min(round*askedPerRound, len(others)), min((round+1)*askedPerRound, len(others))
		asked := others[first:end]
		if round == 0 {
			asked = slices.Concat(readers, asked)
		}
		for _, i := range a.answering(ctx, asked) {
			got, err := a.callPeer(ctx, i, methodList, request{Kind: a.kind, AnyList: true}, returnListTimeout)
			if err == nil && (a.maxAge == 0 || got.age() <= maxReturnListAge) {
				return got, nil
			}
		}
	}
	return response{}, errNoReader
}

// answering returns those of the instances that answer a short call, in the same order.
func (a *SharedAPI) answering(ctx context.Context, instances []platform.Instance) []platform.Instance {
	answers := make([]bool, len(instances))
	var calls sync.WaitGroup
	for k, i := range instances {
		calls.Go(func() {
			_, err := a.callPeer(ctx, i, methodSince, newRequest(a.kind, 0), startupListTimeout)
			_, replied := result.As(err)
			answers[k] = err == nil || replied
		})
	}
	calls.Wait()
	var answering []platform.Instance
	for k, i := range instances {
		if answers[k] {
			answering = append(answering, i)
		}
	}
	return answering
}

// pickLocal returns up to n random instances of this failure domain besides this one and the excluded
// ones.
func (s *Sharing) pickLocal(n int, exclude []platform.Instance) []platform.Instance {
	self := s.Fleet.Self()
	excluded := map[string]bool{self.ID: true}
	for _, i := range exclude {
		excluded[i.ID] = true
	}
	var all []platform.Instance
	for _, i := range s.Fleet.Live() {
		if i.FailureDomain == self.FailureDomain && !excluded[i.ID] {
			all = append(all, i)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all[:min(n, len(all))]
}
