// Package wire reads the fields of the datagrams between entry VMs.
package wire

import "encoding/binary"

// Reader reads the fields of a datagram in order. Malformed is set at the first field that does not fit; fields read from then
// on are zero.
type Reader struct {
	B         []byte // what is left to read
	Malformed bool
}

// Uvarint reads a number.
func (r *Reader) Uvarint() uint64 {
	v, n := binary.Uvarint(r.B)
	if n <= 0 {
		r.Malformed, r.B = true, nil
		return 0
	}
	r.B = r.B[n:]
	return v
}

// Fixed reads n bytes.
func (r *Reader) Fixed(n int) []byte {
	if len(r.B) < n {
		r.Malformed, r.B = true, nil
		return make([]byte, n)
	}
	v := r.B[:n]
	r.B = r.B[n:]
	return v
}

// Count reads a number that is at most limit.
func (r *Reader) Count(limit int) int {
	n := r.Uvarint()
	if n > uint64(limit) {
		r.Malformed = true
		return 0
	}
	return int(n)
}
