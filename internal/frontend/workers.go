package frontend

import "time"

// workerIdleTimeout is how long a worker waits for its next task before it ends.
const workerIdleTimeout = 10 * time.Second

// workerPool runs tasks on goroutines that are reused. The deep stack that a unit needs
// then belongs to a worker and not to each idle caller.
type workerPool struct {
	tasks chan func()
	// quit is closed to end the workers that have no task.
	quit chan struct{}
}

func newWorkerPool() *workerPool {
	return &workerPool{tasks: make(chan func()), quit: make(chan struct{})}
}

// stop ends the workers. No task may be submitted afterwards.
func (w *workerPool) stop() { close(w.quit) }

// run runs f on a worker and returns when f has ended.
func (w *workerPool) run(f func()) {
	done := make(chan struct{})
	task := func() {
		defer close(done)
		f()
	}
	select {
	case w.tasks <- task:
	default:
		go w.runWorker(task)
	}
	<-done
}

func (w *workerPool) runWorker(task func()) {
	idleTimer := time.NewTimer(workerIdleTimeout)
	defer idleTimer.Stop()
	for {
		task()
		idleTimer.Reset(workerIdleTimeout)
		select {
		case task = <-w.tasks:
		case <-idleTimer.C:
			return
		case <-w.quit:
			return
		}
	}
}
