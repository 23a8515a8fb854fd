package quarantine

import "time"

// fingerprintSet holds fingerprints for at least a time, and for less if more than its capacity are added in that time. It
// consists of two generations, the older of which is dropped as a whole.
type fingerprintSet struct {
	capacity       int // of one generation
	ttl            time.Duration
	current, older map[Fingerprint]struct{}
	since          time.Time // beginning of the current generation
}

func newFingerprintSet(capacity int, ttl time.Duration) fingerprintSet {
	return fingerprintSet{capacity: capacity, ttl: ttl, current: map[Fingerprint]struct{}{}}
}

// add adds a fingerprint.
func (s *fingerprintSet) add(fp Fingerprint, now time.Time) {
	s.rotate(now)
	s.current[fp] = struct{}{}
}

// contains reports whether a fingerprint was added within twice the set's time.
func (s *fingerprintSet) contains(fp Fingerprint, now time.Time) bool {
	s.rotate(now)
	_, current := s.current[fp]
	_, older := s.older[fp]
	return current || older
}

func (s *fingerprintSet) rotate(now time.Time) {
	age := now.Sub(s.since)
	if len(s.current) < s.capacity && age < s.ttl {
		return
	}
	s.older, s.current, s.since = s.current, map[Fingerprint]struct{}{}, now
	if age >= 2*s.ttl {
		s.older = nil
	}
}
