package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "wire")
}

// collector passes the messages it receives to a channel.
type collector struct{ got chan Message }

func (c collector) Receive(_ *Conn, m Message) { c.got <- m }

var _ = ginkgo.Describe("Conn", func() {
	quiet := Options{Heartbeat: time.Hour, Silence: 2 * time.Hour}

	ginkgo.It("delivers messages in order and sends no ping while it has other frames", func(ctx ginkgo.SpecContext) {
		a, b := net.Pipe()
		received := collector{got: make(chan Message, 100)}
		meter := &Meter{}
		left := NewConn(a, collector{}, quiet)
		right := NewConn(b, received, Options{Heartbeat: time.Hour, Silence: 2 * time.Hour, Meter: meter})
		run, stop := context.WithCancel(ctx)
		defer stop()
		go left.Run(run)
		go right.Run(run)
		for seq := range uint64(50) {
			Expect(left.Send(&Chunk{Seq: seq})).To(Succeed())
		}
		for seq := range uint64(50) {
			var m Message
			Eventually(ctx, received.got).Should(Receive(&m))
			Expect(m).To(Equal(&Chunk{Seq: seq}))
		}
		Expect(meter.ControlIn.Frames.Load()).To(BeZero())
		Expect(meter.WorkIn.Frames.Load()).To(BeNumerically("==", 50))
	})

	ginkgo.It("closes when the peer doesn't read and the queue is full", func() {
		a, _ := net.Pipe()
		c := NewConn(a, collector{}, Options{Heartbeat: time.Hour, Silence: 2 * time.Hour, Queue: 3})
		for range 3 {
			Expect(c.Send(&Ping{})).To(Succeed())
		}
		Expect(fault.KindOf(c.Send(&Ping{}))).To(Equal(fault.Overloaded))
		Expect(c.Closed()).To(BeClosed())
		Expect(fault.KindOf(c.Send(&Ping{}))).To(Equal(fault.Unavailable))
	})

	ginkgo.It("replaces a connection whose peer is silent", func(ctx ginkgo.SpecContext) {
		a, _ := net.Pipe()
		c := NewConn(a, collector{}, Options{Heartbeat: time.Hour, Silence: time.Millisecond})
		Expect(fault.KindOf(c.Run(ctx))).To(Equal(fault.Timeout))
	})

	ginkgo.It("keeps only what waits", func() {
		q := newSendQueue(DefaultQueue)
		for range DefaultQueue {
			Expect(q.put(&Ping{})).To(BeTrue())
		}
		Expect(q.put(&Ping{})).To(BeFalse())
		Expect(q.take(nil)).To(HaveLen(DefaultQueue))
		Expect(cap(q.messages)).To(BeNumerically("<=", keptCapacity))
	})
})
