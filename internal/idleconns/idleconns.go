// Package idleconns keeps clients from using idle connections that no longer carry data.
//
// Connections can go silent without a reset, all of a process at the same moment. A client with a pool then pays a time-out for each
// pooled connection, unless the first time-out empties the pool.
package idleconns

import (
	"context"
	"errors"
)

// Pool is a client with idle connections, such as *http.Client.
type Pool interface{ CloseIdleConnections() }

// CloseAfterTimeout closes the idle connections of p if ctx, the context of a failed call, has passed its deadline. A call that its
// caller cancelled is no evidence against its connection.
func CloseAfterTimeout(ctx context.Context, p Pool) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		p.CloseIdleConnections()
	}
}
