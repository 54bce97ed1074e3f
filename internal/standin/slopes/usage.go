package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime returns what this process has used so far, user and system.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the bytes of heap and stacks in use after a collection.
func memory() float64 {
	runtime.GC()
	runtime.GC() // the second run frees what finalizers released
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
