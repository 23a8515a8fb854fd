package loads

import (
	"encoding/binary"
	"time"

	"bergamotcroft.example/bergamot/internal/wire"
	"bergamotcroft.example/bergamot/quarantine"
)

// maxPartNotices is the number of notices about crashing parts in one datagram, each typically of 20 to 30 bytes.
const maxPartNotices = 24

// maxPartNoticeAge bounds the age of a crash in a message, so that it does not overflow.
const maxPartNoticeAge = 24 * time.Hour

// QueuePartNotice queues a notice about a part of prompts that may crash upstreams.
func (x *Exchange) QueuePartNotice(n quarantine.PartNotice) {
	queueNotice(x, &x.pendingParts, &x.relaying.partNotices, n)
}

// reportPartNotices passes the notices of a message to Options.OnPartNotice.
func (x *Exchange) reportPartNotices(m *message) {
	if x.opts.OnPartNotice == nil {
		return
	}
	for _, n := range m.partNotices {
		x.opts.OnPartNotice(n)
	}
}

func appendPartNotices(b []byte, notices []quarantine.PartNotice) []byte {
	b = binary.AppendUvarint(b, uint64(len(notices)))
	for i := range notices {
		n := &notices[i]
		parts := n.PartList()
		b = append(b, byte(n.Kind))
		b = binary.BigEndian.AppendUint32(b, n.Crash)
		b = binary.AppendUvarint(b, uint64(n.Age.Milliseconds()))
		b = binary.AppendUvarint(b, uint64(len(parts)))
		for _, p := range parts {
			b = binary.BigEndian.AppendUint64(b, uint64(p))
		}
	}
	return b
}

// readPartNotices decodes the notices at the end of a datagram. Processes of an older version send none.
func readPartNotices(r *wire.Reader) (out []quarantine.PartNotice) {
	if len(r.B) == 0 {
		return nil
	}
	for range r.Count(maxPartNotices) {
		n := quarantine.PartNotice{Kind: quarantine.PartNoticeKind(r.Fixed(1)[0]), Crash: binary.BigEndian.Uint32(r.Fixed(4))}
		n.Age = time.Duration(min(r.Uvarint(), uint64(maxPartNoticeAge/time.Millisecond))) * time.Millisecond
		for i := range r.Count(quarantine.MaxNoticeParts) {
			n.Parts[i] = quarantine.PartID(binary.BigEndian.Uint64(r.Fixed(8)))
		}
		out = append(out, n)
	}
	return out
}
