package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// orderWork is how long a replica works on an order.
const orderWork = 400 * time.Millisecond

// order is a request that was sent and what came of it.
type order struct {
	id, gateway string
	status      int
	err         error
	endedAt     time.Time
}

// orders holds the orders that have ended.
type orders struct {
	mu   sync.Mutex
	list []order
}

// send sends orders to a gateway one after the other, on a kept connection, until stop is closed.
func (o *orders) send(g *gateway, client int, stop <-chan struct{}) {
	c := http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("o-%s-%d-%04d", g.ip[strings.LastIndex(g.ip, ".")+1:], client, n)
		x := order{id: id, gateway: g.name}
		resp, err := c.Do(newCall(g, http.MethodPost, "/order/"+id, id, "8000"))
		x.err = err
		if err == nil {
			x.status = resp.StatusCode
			_, x.err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		x.endedAt = time.Now()
		record("client: %s to %s: status %d, error %v", id, g.name, x.status, x.err)
		o.mu.Lock()
		o.list = append(o.list, x)
		o.mu.Unlock()
		if x.err != nil || x.status != 200 {
			time.Sleep(500 * time.Millisecond)
		}
	}
}
