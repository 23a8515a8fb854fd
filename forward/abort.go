package forward

import (
	"net/http"

	"bergamotcroft.example/bergamot/conns"
)

// abort breaks the caller's connection, so that an answer that has begun does not look complete. It does not return.
func (x *exchange) abort() {
	if !x.r.ProtoAtLeast(1, 1) { // an answer without a length ends with its connection, and only a reset shows that it is cut
		x.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset resets the caller's connection.
func (x *exchange) reset() {
	c, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		return // not a connection of its own; the panic that follows ends the answer
	}
	conns.Reset(c)
}
