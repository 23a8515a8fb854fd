package engine

import (
	"slices"
	"time"
)

// Call is one call to a plain service.
type Call struct {
	Owner any
	VM    int
	Time  time.Duration
	Gone  bool
}

// Service simulates a server that starts calls in order of arrival and runs a bounded number at once.
type Service struct {
	Slots   int
	Slow    float64
	Running []*Call
	Waiting []*Call
}

// Submit adds a call to the queue.
func (s *Service) Submit(c *Call) { s.Waiting = append(s.Waiting, c) }

// Next starts the next call and returns it with its duration, or nil when none can start.
func (s *Service) Next() (*Call, time.Duration) {
	if len(s.Waiting) == 0 || len(s.Running) >= max(s.Slots, 1) {
		return nil, 0
	}
	c := s.Waiting[0]
	s.Waiting = s.Waiting[1:]
	s.Running = append(s.Running, c)
	return c, time.Duration(float64(c.Time) * max(s.Slow, 1))
}

// End removes a completed call.
func (s *Service) End(c *Call) {
	if i := slices.Index(s.Running, c); i >= 0 {
		s.Running = slices.Delete(s.Running, i, i+1)
	}
}

// Cancel removes a waiting call and reports whether it did. A running call continues.
func (s *Service) Cancel(c *Call) bool {
	i := slices.Index(s.Waiting, c)
	if i < 0 {
		return false
	}
	s.Waiting = slices.Delete(s.Waiting, i, i+1)
	c.Gone = true
	return true
}

// Kill removes all calls and returns them.
func (s *Service) Kill() []*Call {
	calls := slices.Concat(s.Running, s.Waiting)
	for _, c := range calls {
		c.Gone = true
	}
	s.Running, s.Waiting = nil, nil
	return calls
}
