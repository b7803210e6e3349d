package entry

// maxPendingChunks bounds the chunks of an attempt that wait for an earlier
// one.
const maxPendingChunks = 64

// arrival says how a chunk's number relates to those delivered and pending.
type arrival int

// The arrivals.
const (
	// inOrder means that the chunk, and maybe pending ones, can be delivered.
	inOrder arrival = iota
	// duplicate means that the chunk arrived before; it is dropped.
	duplicate
	// outOfOrder means that the chunk is pending until the earlier ones arrive.
	outOfOrder
	// windowFull means that the chunk was dropped: earlier chunks are missing
	// and maxPendingChunks are already pending.
	windowFull
)

// reorderBuffer puts the numbered chunks of an attempt into order and drops
// duplicates.
type reorderBuffer struct {
	// lastDelivered is the number of the last chunk delivered in order.
	lastDelivered uint64
	// pending holds the chunks after a gap by number.
	pending map[uint64][]byte
}

func newReorderBuffer(lastDelivered uint64) *reorderBuffer {
	return &reorderBuffer{lastDelivered: lastDelivered, pending: map[uint64][]byte{}}
}

// add takes a chunk and returns those that can now be delivered, in order.
func (b *reorderBuffer) add(seq uint64, data []byte) ([][]byte, arrival) {
	if _, pending := b.pending[seq]; pending || seq <= b.lastDelivered {
		return nil, duplicate
	}
	if seq != b.lastDelivered+1 {
		return nil, b.addPending(seq, data)
	}
	ready := [][]byte{data}
	b.lastDelivered = seq
	for next, ok := b.pending[b.lastDelivered+1]; ok; next, ok = b.pending[b.lastDelivered+1] {
		b.lastDelivered++
		delete(b.pending, b.lastDelivered)
		ready = append(ready, next)
	}
	return ready, inOrder
}

func (b *reorderBuffer) addPending(seq uint64, data []byte) arrival {
	if len(b.pending) >= maxPendingChunks {
		return windowFull
	}
	b.pending[seq] = data
	return outOfOrder
}
