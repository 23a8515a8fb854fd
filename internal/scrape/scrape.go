// Package scrape serves the metrics of a process.
package scrape

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// collecting is held while metrics are collected. Those of the process are read from several files, so that many clients at once would
// use more descriptors than are left for them.
var collecting sync.Mutex

// Write answers with the metrics of the process and those that the functions write. It collects them before it sends, so that a client
// that does not read keeps no other from them.
func Write(w http.ResponseWriter, others ...func(io.Writer)) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write(collect(others)) // an error means that the client has left
}

func collect(others []func(io.Writer)) []byte {
	collecting.Lock()
	defer collecting.Unlock()
	var b bytes.Buffer
	metrics.WritePrometheus(&b, true)
	for _, write := range others {
		write(&b)
	}
	return b.Bytes()
}
