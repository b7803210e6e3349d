package wire

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// waiting returns the number of messages that the writer hasn't taken.
func (q *sendQueue) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.messages)
}

// A peer doesn't read. Guards against a sender of a long answer that fills the queue, or waits
// although the peer reads again, the connection has ended or nobody wants the answer any more.
func TestSenderOfChunksWaitsForThePeer(t *testing.T) {
	for name, end := range map[string]func(peer net.Conn, c *Conn, cancel context.CancelFunc){
		"the peer reads": func(peer net.Conn, _ *Conn, _ context.CancelFunc) {
			go func() { _ = NewConn(peer, make(collector, 1024), Options{}).Run(context.Background()) }()
		},
		"the connection ends":   func(_ net.Conn, c *Conn, _ context.CancelFunc) { c.Close() },
		"the answer isn't kept": func(_ net.Conn, _ *Conn, cancel context.CancelFunc) { cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			near, peer := net.Pipe()
			defer peer.Close()
			c := NewConn(near, make(collector, 8), Options{})
			defer c.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = c.Run(context.Background()) }()
			// The first chunk exceeds the write buffer, so that its write waits for the peer.
			g.Expect(c.Send(&Chunk{Data: make([]byte, 2*bufferSize)})).To(Succeed())
			g.Eventually(c.queue.waiting, "10s").Should(BeZero())
			sent := 0
			for ; c.queue.awaited() == nil; sent++ {
				c.AwaitRoom(ctx)
				g.Expect(c.Send(&Chunk{Data: make([]byte, 1<<10)})).To(Succeed())
			}
			g.Expect(sent).To(BeNumerically("<=", maxUnsentChunks>>10))
			done := make(chan struct{})
			go func() {
				defer close(done)
				c.AwaitRoom(ctx)
			}()
			g.Consistently(done, "50ms").ShouldNot(BeClosed())
			end(peer, c, cancel)
			g.Eventually(done, "10s").Should(BeClosed())
		})
	}
}
