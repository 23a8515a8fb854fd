package forward

import (
	"strings"
	"sync"
)

// labelLimiter bounds the number of values of a metric's label. Values beyond the limit share "other".
type labelLimiter struct {
	mu     sync.Mutex
	limit  int
	labels map[string]string
}

func newLabelLimiter(limit int) *labelLimiter {
	return &labelLimiter{limit: limit, labels: map[string]string{}}
}

var labelEscaper = strings.NewReplacer(`"`, "_", `\`, "_", "\n", "_")

func (s *labelLimiter) label(value string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.labels[value]; ok {
		return v
	}
	if len(s.labels) >= s.limit {
		return "other"
	}
	v := labelEscaper.Replace(value)
	s.labels[value] = v
	return v
}
