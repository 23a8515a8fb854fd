// Package liveheap measures the memory of live objects, for tests of what is kept.
package liveheap

import "runtime"

// Bytes collects garbage and returns the bytes of live objects.
func Bytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
