package link_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/standin/link"
)

// serve serves a link to a new listener and returns both and the link's address.
func serve(t *testing.T) (*link.Link, net.Listener, string) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { target.Close() })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := link.New(target.Addr().String())
	go func() { _ = l.Serve(ctx, ln) }()
	return l, target, ln.Addr().String()
}

func TestHoldDeliversBytesAndCloseLater(t *testing.T) {
	for _, held := range []struct {
		name   string
		opened bool // whether the connection was open before
	}{{"open connection", true}, {"new connection", false}} {
		t.Run(held.name, func(t *testing.T) {
			g := NewWithT(t)
			l, target, address := serve(t)
			received := make(chan string)
			go func() {
				c, err := target.Accept()
				if err != nil {
					return
				}
				text, _ := io.ReadAll(c)
				received <- string(text)
			}()
			if !held.opened {
				g.Expect(l.SetMode(link.Hold)).To(Succeed())
			}
			c, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(HaveOccurred())
			if held.opened {
				_, err = io.WriteString(c, "before ")
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(50 * time.Millisecond)
				g.Expect(l.SetMode(link.Hold)).To(Succeed())
			}
			_, err = io.WriteString(c, "held")
			g.Expect(err).NotTo(HaveOccurred())
			c.Close()
			g.Consistently(received, "200ms").ShouldNot(Receive())
			g.Expect(l.SetMode(link.Pass)).To(Succeed())
			want := "held"
			if held.opened {
				want = "before held"
			}
			g.Eventually(received).Should(Receive(Equal(want)))
		})
	}
}
