package main

import (
	"fmt"
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
	took     time.Duration
}

var transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true, ResponseHeaderTimeout: 10 * time.Second}

// send sends a request to a gateway and reads the answer.
func (d *deployment) send(p *process, method, path, body string, limit time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	q, err := http.NewRequest(method, "http://"+p.ip+":8227"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Header.Set("Request-Id", a.id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	q.Header.Set("Authorization", "Bearer "+apiKey)
	a.sentAt = d.record.now()
	client := http.Client{Transport: transport, Timeout: limit}
	resp, err := client.Do(q)
	if err != nil {
		a.err, a.took = err, d.record.now()-a.sentAt
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.status, a.stamp, a.body, a.complete, a.err = resp.StatusCode, resp.Header.Get("Server-Stamp"), string(text), err == nil, err
	a.took = d.record.now() - a.sentAt
	return a
}
