package instance

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/callers"
	"github.com/topazrock/topazrock/internal/clock"
)

const (
	// defaultDrainTimeout and defaultCloseTimeout apply if the settings have no limits.
	defaultDrainTimeout = 30 * time.Second
	defaultCloseTimeout = 2 * time.Second
	// peerLinger is how long peers are still answered after the drain.
	peerLinger = 500 * time.Millisecond
)

func (n *Instance) drainTimeout() time.Duration {
	return cmp.Or(n.options.Settings.Drain.Timeout, defaultDrainTimeout)
}

func (n *Instance) closeTimeout() time.Duration {
	return cmp.Or(n.options.Settings.Drain.CloseTimeout, defaultCloseTimeout)
}

// shutdownTime returns the longest time that a graceful shutdown takes. Other instances are
// expected to have the same settings.
func (n *Instance) shutdownTime() time.Duration {
	return n.drainTimeout() + callers.FinalReplyTimeout + n.closeTimeout()
}

// drain waits until the running requests of callers and peers have ended. Those that are still
// running when the drain times out are interrupted, and the callers and peers get the outcome.
func (n *Instance) drain(callerListener net.Listener) error {
	n.options.Logger.Info("Drain begins.")
	n.draining.Store(true)
	limits := n.options.Settings.Drain
	timeout := n.drainTimeout()
	running, cancelRunning := context.WithTimeout(context.Background(), timeout)
	defer cancelRunning()
	replied, cancelReplied := context.WithTimeout(context.Background(), timeout+callers.FinalReplyTimeout)
	defer cancelReplied()
	// Callers still connect, and peers still send units, until the balancer has noticed
	// that the instance is not ready.
	_ = clock.Sleep(running, n.options.Clock, limits.Linger)
	// From now on, new units of peers run at other homes, however long this instance's own
	// callers still take: a unit that came late would be interrupted when the drain times out.
	n.router.RefusePeerUnits()
	if !n.protocol.MembersLimitConnections {
		n.members.SetDraining()
	}
	// From now on, callers that connect are told to use another instance, and later find no
	// listener.
	err := n.callers.Drain(running)
	callerListener.Close()
	// Where every instance is a home, SetDraining is called only now: until here this
	// instance serves its remaining callers itself, because forwarding their last
	// statements would open connections at other homes.
	n.members.SetDraining()
	err = errors.Join(err, n.drainPeers(running, replied))
	// Peers that still send units are told to use another instance; closing the
	// connections at once would lose the units in flight.
	_ = clock.Sleep(replied, n.options.Clock, peerLinger)
	n.options.Logger.Info("Drain has ended.", "error", err)
	return err
}

// drainPeers waits for the units and transactions of peers. When running ends, the remaining units
// are interrupted and have until replied ends to return their outcome: closing the connections at
// once would leave the outcome of a unit unknown that was not even sent. The transactions are
// discarded, since nothing else gives their connections back before the process ends.
func (n *Instance) drainPeers(running, replied context.Context) error {
	err := n.router.Drain(running)
	if err == nil {
		return nil
	}
	n.router.InterruptUnits()
	n.router.DiscardTransactions()
	_ = n.router.Drain(replied)
	return err
}

// shutdown stops all homes and servers and releases the shares. It returns when this is done or
// the close timeout has passed, whichever is first. A platform kills a process that takes
// longer to stop than it allows, so a member or a peer that does not answer must not delay the
// end: the remaining connections are closed with the process.
func (n *Instance) shutdown(peers net.Listener, stop context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), n.closeTimeout())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.runShutdown(ctx, peers, stop)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		n.options.Logger.Warn("Shutdown timed out. The process ends with the remaining steps undone.", "steps", n.progress.unfinished())
	}
}

// runShutdown takes the steps of a shutdown.
func (n *Instance) runShutdown(ctx context.Context, peers net.Listener, stop context.CancelFunc) {
	// Only one goroutine may stop a home: this one, or the one that drains a retired home.
	// No home is retired any more once the reconciliation has ended.
	stop()
	n.progress.run("wait for reconciliation", n.reconciling.Wait)
	n.stopHomes(ctx)
	n.progress.run("wait for rejected callers", func() { _ = n.callers.WaitForRejected(ctx) })
	n.progress.run("close callers", n.callers.Close)
	n.progress.run("withdraw entry", func() { n.withdrawEntry(ctx) })
	peers.Close()
	n.progress.run("close peers", func() {
		n.peers.Close()
		n.client.Close()
	})
	n.progress.run("wait for background tasks", n.running.Wait)
}

// stopHomes stops all homes at once, so that a member that does not answer delays the stop of its
// own group only.
func (n *Instance) stopHomes(ctx context.Context) {
	var stopping sync.WaitGroup
	for _, h := range n.homesCopy() {
		stopping.Go(func() { n.stopHome(ctx, h) })
	}
	stopping.Wait()
}
