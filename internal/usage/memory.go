package usage

import "runtime/metrics"

// heapObjects is the runtime metric of the bytes that objects on the heap occupy.
const heapObjects = "/memory/classes/heap/objects:bytes"

// heapBytes returns the bytes that objects on the heap occupy.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: heapObjects}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
