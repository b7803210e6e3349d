package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Times and sizes, inside the limits of the pages (see the claims).
const (
	extraRoutes = 1400
	stormGap    = 80 * time.Millisecond
	// silenceTime is when the keep-alive of a silent connection would have shown the silence: the
	// gateways probe a connection that has been idle for a second, and give it up after another.
	silenceTime  = 2200 * time.Millisecond
	configApply  = 3 * time.Second
	stableWindow = 4 * time.Second
	judgedFor    = 8 * time.Second
)

// callerKey is a key of every version, takenKey one that the last version of silentCase takes away.
const (
	callerKey = "n2ctnfzs989anu6wsjnb"
	takenKey  = "anfqasnmgkcuyj8pjbvk"
)

func plainRoute(name, prefix, service, kind string, timeoutMS int) map[string]any {
	return map[string]any{"name": name, "host": "ficu95.example", "path-prefix": prefix, "kind": kind, "timeout-ms": timeoutMS, "target-latency-ms": 300, "priority": 2, "service": service, "max-attempts": 2, "anonymous": false, "sticky": false, "resumable": false}
}

// configuration returns a version of the operator's configuration in which a service gets the
// requests of /moved/.
func configuration(version int, moved string, keys ...string) map[string]any {
	routes := []any{plainRoute("r-moved", "/moved/", moved, "safe", 2000), plainRoute("r-order", "/order/", "huvo11a", "unsafe", 8000)}
	for i := range extraRoutes {
		routes = append(routes, plainRoute(fmt.Sprintf("r-idle%04d", i), fmt.Sprintf("/idle%04d/", i), "huvo11a", "safe", 2000))
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "huvo11a", "health-path": "/health", "max-connections": 490, "protocol": "h1", "tls": false},
			map[string]any{"name": "wuno96b", "health-path": "/health", "max-connections": 490, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": append([]string{callerKey}, keys...), "priority": 1}},
	}
}

// newCall returns a client's request to a gateway.
func newCall(g *gateway, method, path, id, deadlineMS string) *http.Request {
	req, err := http.NewRequest(method, "http://"+g.callers+path, http.NoBody)
	if err != nil {
		fail2("%v", err)
	}
	req.Host = "ficu95.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", deadlineMS)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	return req
}

// ask sends one request of a client to a gateway and returns the status and the body.
func ask(g *gateway, id, key string) (int, string) {
	c := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req := newCall(g, http.MethodGet, "/moved/2f", id, "4000")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.Do(req)
	if err != nil {
		record("client: %s to %s: %v", id, g.name, err)
		return 0, ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	record("client: %s to %s: %d %q stamp %q", id, g.name, resp.StatusCode, body, resp.Header.Get("Server-Stamp"))
	return resp.StatusCode, string(body)
}

// stormVersions is the number of versions of a storm.
var stormVersions = 25

// silentCase: the connections to the store go silent while versions of a large configuration
// follow one another.
func silentCase() {
	if text := os.Getenv("VERSIONS"); text != "" { // for comparison
		stormVersions, _ = strconv.Atoi(text)
	}
	s := newStore(20 * time.Second)
	p := newPath(serve("127.0.0.1", s))
	replicas := []*replica{startReplica("i-old1", "huvo11a"), startReplica("i-old2", "huvo11a"), startReplica("i-new1", "wuno96b"), startReplica("i-new2", "wuno96b")}
	for _, r := range replicas {
		s.put("servers/"+r.id, r.entry("ready"))
	}
	version := 7
	write := func(moved string, keys ...string) time.Time {
		version += 3
		ack := s.put("op/config", configuration(version, moved, keys...))
		record("the operator has written version %d: /moved/ goes to %s, keys beside the first: %v", version, moved, keys)
		return ack
	}
	write("huvo11a", takenKey)
	record("the configuration takes %d bytes in base64", s.size("op/config"))
	gateways := []*gateway{startGateway("edge-plateau-a-1", network+"1", p.address()), startGateway("edge-plateau-a-2", network+"2", p.address())}
	awaitReady(gateways...)
	time.Sleep(10 * time.Second)
	write("huvo11a", takenKey)
	time.Sleep(2 * time.Second)
	for i, g := range gateways {
		if status, body := ask(g, fmt.Sprintf("before%d", i), takenKey); status != 200 || !strings.HasSuffix(body, "huvo11a") {
			fail2("%s doesn't serve before the trouble", g.name)
		}
	}
	var silenced []*pathConn
	silenceAt := time.Now()
	if troubled {
		silenced = p.silence()
		record("%d connections to the store are silent from now on; new ones work", len(silenced))
	}
	var ack time.Time
	for i := range stormVersions {
		if i < stormVersions-1 {
			write("huvo11a", takenKey)
		} else {
			ack = write("wuno96b")
		}
		time.Sleep(stormGap)
	}
	judgedFrom := ack.Add(configApply)
	if troubled {
		time.Sleep(time.Until(silenceAt.Add(silenceTime)))
		reset(silenced)
		record("the silent connections are reset")
		if inTouch := time.Now().Add(stableWindow); inTouch.After(judgedFrom) {
			judgedFrom = inTouch
		}
	}
	time.Sleep(time.Until(judgedFrom.Add(100 * time.Millisecond)))
	record("from now on every machine is in touch, and the last version was acknowledged longer than config-apply-ms ago")
	var old, oldKey, all, allKey int
	for n := 0; time.Since(judgedFrom) < judgedFor; n++ {
		id, key := fmt.Sprintf("after%03d", n), callerKey
		if n/len(gateways)%2 == 1 {
			key = takenKey
			allKey++
		} else {
			all++
		}
		ask(gateways[n%len(gateways)], id, key)
		for _, r := range replicas {
			if _, ran := r.ran(id); ran && key == takenKey {
				oldKey++
			} else if ran && r.service == "huvo11a" {
				old++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	record("the largest response to a watch had %d bytes", s.largestWatch())
	verdict(old+oldKey > 0, "of the requests that were sent later than %v after the ack of the last version and taken by machines in touch, %d of %d with a key were run by the service that only older versions name, and %d of %d with a key that only older versions hold were run", configApply, old, all, oldKey, allKey)
}
