package forward

import (
	"strings"
	"sync"
)

// series bounds the values of a metric's label; later ones share "other".
type series struct {
	mu    sync.Mutex
	limit int
	seen  map[string]string
}

func newSeries(limit int) *series { return &series{limit: limit, seen: map[string]string{}} }

var labelCleaner = strings.NewReplacer(`"`, "_", `\`, "_", "\n", "_")

func (s *series) of(value string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.seen[value]; ok {
		return v
	}
	if len(s.seen) >= s.limit {
		return "other"
	}
	v := labelCleaner.Replace(value)
	s.seen[value] = v
	return v
}
