package loads

import (
	"encoding/binary"

	"bergamotcroft.example/bergamot/internal/wire"
	"bergamotcroft.example/bergamot/membership"
	"bergamotcroft.example/bergamot/versions"
)

// maxStarts is the number of starts of streams in one datagram, each of 12 bytes.
const maxStarts = 32

// QueueStart queues the start of a stream, so that peers know the version at which it can go on.
func (x *Exchange) QueueStart(s versions.Start) {
	queueNotice(x, &x.pendingStarts, &x.relaying.starts, s)
}

// plansRevision returns the revision of the plans for versions to be sent; 0: none.
func (x *Exchange) plansRevision() uint64 {
	if x.opts.PlansRevision == nil {
		return 0
	}
	return x.opts.PlansRevision()
}

// PlansConfirmed reports whether all other entry VMs have stated that they have the plans of a revision, or newer ones. In a fleet in
// which not all send to one another it is false.
func (x *Exchange) PlansConfirmed(revision uint64) bool {
	self, all := x.opts.List.Self(), x.opts.List.Members()
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range all {
		m := &all[i]
		if m.Name == self.Name || m.State == membership.Gone {
			continue
		}
		if host, ok := hostOf(m.Address); !ok || x.peerRevisions[host] < revision {
			return false
		}
	}
	return true
}

// noteRevision records the revision that a peer has stated.
func (x *Exchange) noteRevision(from string, revision uint64) {
	host, ok := hostOf(from)
	if !ok || revision == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, known := x.peerRevisions[host]; known || len(x.peerRevisions) < maxPeerRevisions {
		x.peerRevisions[host] = max(x.peerRevisions[host], revision)
	}
}

// maxPeerRevisions bounds the table of revisions. VMs that are replaced have new addresses.
const maxPeerRevisions = 4096

// reportStarts passes the starts of streams and the revision of a message to Options.OnStart and Options.OnPlansRevision.
func (x *Exchange) reportStarts(m *message) {
	if x.opts.OnStart != nil {
		for _, s := range m.starts {
			x.opts.OnStart(s)
		}
	}
	if x.opts.OnPlansRevision != nil && m.plansRevision > 0 {
		x.opts.OnPlansRevision(m.plansRevision)
	}
}

func appendStarts(b []byte, starts []versions.Start, plansRevision uint64) []byte {
	b = binary.AppendUvarint(b, uint64(len(starts)))
	for _, s := range starts {
		b = binary.BigEndian.AppendUint64(b, uint64(s.Stream))
		b = binary.BigEndian.AppendUint32(b, s.Version)
	}
	return binary.AppendUvarint(b, plansRevision)
}

// readStarts decodes the starts and the revision at the end of a datagram. Processes of an older version send none.
func readStarts(r *wire.Reader) (starts []versions.Start, plansRevision uint64) {
	if len(r.B) == 0 {
		return nil, 0
	}
	for range r.Count(maxStarts) {
		starts = append(starts, versions.Start{
			Stream: versions.StreamID(binary.BigEndian.Uint64(r.Fixed(8))), Version: binary.BigEndian.Uint32(r.Fixed(4)),
		})
	}
	return starts, r.Uvarint()
}
