package frontend

import "time"

// workerIdle is how long a worker waits for its next task.
const workerIdle = 10 * time.Second

// workers runs tasks on goroutines that are kept for a while. A unit's deep
// stack then belongs to a worker and not to each idle caller.
type workers struct {
	tasks chan func()
	// quit ends the workers that have no task.
	quit chan struct{}
}

func newWorkers() *workers {
	return &workers{tasks: make(chan func()), quit: make(chan struct{})}
}

// stop ends the workers. No task may follow.
func (w *workers) stop() { close(w.quit) }

// do runs f on a worker and returns when f has ended.
func (w *workers) do(f func()) {
	done := make(chan struct{})
	task := func() {
		defer close(done)
		f()
	}
	select {
	case w.tasks <- task:
	default:
		go w.work(task)
	}
	<-done
}

func (w *workers) work(task func()) {
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		task()
		idle.Reset(workerIdle)
		select {
		case task = <-w.tasks:
		case <-idle.C:
			return
		case <-w.quit:
			return
		}
	}
}
