package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has received.
type answer struct {
	id     string
	status int
	stamp  string
	body   string
	// complete is set if the answer ended as the protocol says.
	complete bool
	err      error
	sentAt   time.Duration
}

var transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// send sends a request to a gateway on a connection of its own and reads the answer. header may
// be nil.
func (d *deployment) send(p *process, method, path, body string, header map[string]string, limit time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	q, err := http.NewRequest(method, "http://"+p.ip+":8227"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Header.Set("Request-Id", a.id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	q.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range header {
		q.Header.Set(name, value)
	}
	a.sentAt = d.record.now()
	client := http.Client{Transport: transport, Timeout: limit}
	resp, err := client.Do(q)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.status, a.stamp, a.body, a.complete, a.err = resp.StatusCode, resp.Header.Get("Server-Stamp"), string(text), err == nil, err
	return a
}

// hash returns a number that a text determines.
func hash(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}
