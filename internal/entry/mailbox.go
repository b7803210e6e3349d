package entry

import (
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// mailboxLimit bounds the messages that wait for one attempt.
const mailboxLimit = 8192

// mailbox passes the messages of one attempt from the connection's reader,
// which must not block, to the request's goroutine.
type mailbox struct {
	mu       sync.Mutex
	messages []wire.Message
	overflow bool
	notify   chan struct{}
}

func newMailbox() *mailbox { return &mailbox{notify: make(chan struct{}, 1)} }

// put adds a message. Beyond the limit messages are dropped, which the reader
// sees as a gap.
func (b *mailbox) put(m wire.Message) {
	b.mu.Lock()
	if len(b.messages) < mailboxLimit {
		b.messages = append(b.messages, m)
	} else {
		b.overflow = true
	}
	b.mu.Unlock()
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

// take returns the waiting messages and whether any was dropped.
func (b *mailbox) take() ([]wire.Message, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.messages
	b.messages = nil
	return m, b.overflow
}
