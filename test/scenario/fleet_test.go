package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcupreel/kingcupreel/internal/config"
	v2 "github.com/kingcupreel/kingcupreel/internal/config/v2"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/platform"
)

// operatorToken is the operator's bearer token in scenarios. The token of a
// client account is its name, such as "account-1".
const operatorToken = "operator"

// fleet describes the deployment that the script command "fleet" starts.
type fleet struct {
	dataCentres, entries, engines, plains int
	// links puts a stand-in link in front of each agent.
	links bool
	// engineArgs, plainArgs, entryArgs and agentArgs are additional flags of
	// the programs.
	engineArgs, plainArgs, entryArgs, agentArgs []string
}

// cmdFleet implements "fleet dcs=1 entries=2 engines=2 plains=1 links=yes
// engine-args='...'". It starts the key-value stand-in (kv), the engines and
// plain services with their agents (engine1, agent-engine1, plain1,
// agent-plain1, ...) and the entries (entry1, ...), spread over the data
// centres dc1, dc2, ..., and writes their records. Engines serve model "m" and
// plain services service "s"; POST /once of "s" is non-idempotent.
func cmdFleet(ts *testscript.TestScript, neg bool, args []string) {
	f := fleet{dataCentres: 1, entries: 1, engines: 1}
	numbers := map[string]*int{"dcs": &f.dataCentres, "entries": &f.entries, "engines": &f.engines, "plains": &f.plains}
	extraArgs := map[string]*[]string{"engine-args": &f.engineArgs, "plain-args": &f.plainArgs, "entry-args": &f.entryArgs, "agent-args": &f.agentArgs}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		switch {
		case numbers[name] != nil:
			n, err := strconv.Atoi(value)
			ts.Check(err)
			*numbers[name] = n
		case extraArgs[name] != nil:
			*extraArgs[name] = strings.Fields(value)
		case name == "links":
			f.links = value == "yes"
		default:
			ts.Fatalf("fleet: unknown argument %q", arg)
		}
	}
	f.start(ts)
}

func (f *fleet) start(ts *testscript.TestScript) {
	kv := startProcess(ts, "kv", "kingcupreel-standin", "kv")
	base := "http://" + kv.Listen["http"]
	f.writeRecord(ts, base, &config.ModelGroup{Name: "g", Model: "m", Ranks: max(f.engines, 1)})
	f.writeRecord(ts, base, &config.PlainService{Name: "s", NonIdempotent: []config.CallPattern{{Method: "POST", PathPrefix: "/once"}}})
	f.writeRecord(ts, base, &config.Operator{Name: "op", TokenSHA256: []string{config.HashToken(operatorToken)}})
	for n := 1; n <= 3; n++ {
		token := fmt.Sprintf("account-%d", n)
		f.writeRecord(ts, base, &config.ClientAccount{Name: token, TokenSHA256: []string{config.HashToken(token)}, Priority: 2 * n})
	}
	for n := 1; n <= f.engines; n++ {
		u := &config.Upstream{Name: fmt.Sprintf("engine%d", n), DataCentre: f.dataCentre(n), Group: "g", Rank: n - 1}
		f.startUpstream(ts, base, u, "engine", f.engineArgs)
	}
	for n := 1; n <= f.plains; n++ {
		u := &config.Upstream{Name: fmt.Sprintf("plain%d", n), DataCentre: f.dataCentre(n), Service: "s"}
		f.startUpstream(ts, base, u, "plain", f.plainArgs)
	}
	for n := 1; n <= f.entries; n++ {
		f.startEntry(ts, base, n)
	}
}

func (f *fleet) dataCentre(n int) string { return fmt.Sprintf("dc%d", (n-1)%f.dataCentres+1) }

func (f *fleet) startUpstream(ts *testscript.TestScript, base string, u *config.Upstream, kind string, extra []string) {
	target := startProcess(ts, u.Name, "kingcupreel-standin", append([]string{kind}, extra...)...)
	agent := startProcess(ts, "agent-"+u.Name, "kingcupreeld", append([]string{
		"agent", "--process", "agent-" + u.Name, "--vm", "vm-" + u.Name, "--data-centre", u.DataCentre,
		"--upstream", u.Name, "--target", "http://" + target.Listen["http"],
	}, f.agentArgs...)...)
	u.VM = "vm-" + u.Name
	u.Address = agent.Listen["inner"]
	if f.links {
		link := startProcess(ts, "link-"+u.Name, "kingcupreel-standin", "link", "--to", u.Address)
		u.Address = link.Listen["link"]
	}
	f.writeRecord(ts, base, u)
	f.vm(ts, base, kvstore.VM{ID: u.VM, DataCentre: u.DataCentre, Role: "upstream", Address: u.Address, State: kvstore.VMLive})
}

func (f *fleet) startEntry(ts *testscript.TestScript, base string, n int) {
	name := fmt.Sprintf("entry%d", n)
	ready := startProcess(ts, name, "kingcupreeld", append([]string{
		"entry", "--process", name, "--vm", "vm-" + name, "--data-centre", f.dataCentre(n), "--platform", base,
	}, f.entryArgs...)...)
	f.vm(ts, base, kvstore.VM{ID: "vm-" + name, DataCentre: f.dataCentre(n), Role: "entry", Address: ready.Listen["inner"], State: kvstore.VMLive})
	minConnected := min(f.engines, membership.MaxLocalUpstreams) + min(f.plains, membership.MaxLocalUpstreams)
	cmdUntil(ts, false, []string{`connected=`, "check", "connected", "http://" + ready.Listen["ops"], strconv.Itoa(minConnected)})
}

// writeRecord stores a configuration record in the key-value service.
func (f *fleet) writeRecord(ts *testscript.TestScript, base string, o config.Object) {
	record, err := v2.Encode(o)
	ts.Check(err)
	_, err = platform.NewStore(base, platform.DefaultStoreTimeout).Put(context.Background(), kvstore.Put{Key: o.Key().Path(), Value: record, Expect: kvstore.AnyRevision})
	ts.Check(err)
}

func (f *fleet) vm(ts *testscript.TestScript, base string, vm kvstore.VM) {
	f.postJSON(ts, base+"/admin/vms", vm)
}

func (f *fleet) postJSON(ts *testscript.TestScript, url string, body any) {
	data, err := json.Marshal(body)
	ts.Check(err)
	resp, err := http.Post(url, "application/json", strings.NewReader(string(data)))
	ts.Check(err)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("%s: status %d", url, resp.StatusCode)
	}
}
