package entry

import (
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// maxMailboxBytes bounds the data that waits for one attempt, in bytes. A chunk
// counts with wire.ChunkOverhead more than its data.
const maxMailboxBytes = 4 << 20

// mailbox passes the messages of one attempt from the connection's reader,
// which must not block, to the request's goroutine.
type mailbox struct {
	mu       sync.Mutex
	messages []wire.Message
	size     int
	overflow bool
	notify   chan struct{}
}

func newMailbox() *mailbox { return &mailbox{notify: make(chan struct{}, 1)} }

// put adds a message. Once the waiting chunks exceed maxMailboxBytes, this and
// all later messages are dropped, and the attempt ends.
func (b *mailbox) put(m wire.Message) {
	b.mu.Lock()
	if chunk, ok := m.(*wire.Chunk); ok {
		b.size += len(chunk.Data) + wire.ChunkOverhead
		b.overflow = b.overflow || b.size > maxMailboxBytes
	}
	if !b.overflow {
		b.messages = append(b.messages, m)
	}
	b.mu.Unlock()
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

// removeAll removes and returns the waiting messages, and reports whether any
// was dropped.
func (b *mailbox) removeAll() ([]wire.Message, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.messages
	b.messages = nil
	b.size = 0
	return m, b.overflow
}
