// Package orders records, sends and settles orders to engines.
//
// Invariants: an order is in the store before it is sent; at most one order per engine is open; a new lease holder settles
// the open order before it sends another one.
package orders

import (
	"context"

	"bergamotcroft.example/bergamot/topo"
)

// Engine is the order interface of an engine: POST /orders and GET /orders/current.
type Engine interface {
	// Send delivers an order. The engine answers once it has accepted or refused the order, and works on it afterwards.
	Send(ctx context.Context, address string, o topo.Order) (topo.EngineStatus, error)
	// Current returns the engine's state and its last order.
	Current(ctx context.Context, address string) (topo.EngineStatus, error)
}

// Runner executes orders: it records an order, sends it under a valid lease and waits until it is settled.
type Runner interface {
	// Run returns the settled order. Errors are *result.Error: OrderOpen, OrderRefused, OrderTimedOut, FencingStale,
	// LeaseLost or a store error. ID, Fencing, Group, State and Recorded are set by Run.
	Run(ctx context.Context, u topo.Upstream, o topo.Order) (topo.Order, error)
	// Settle finishes the order that a former holder left open for u, if there is one.
	Settle(ctx context.Context, u topo.Upstream) error
}
