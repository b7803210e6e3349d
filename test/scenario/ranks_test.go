package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/ctl"
	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/planner"
	"github.com/kingcupreel/kingcupreel/internal/standin/ranks"
)

const (
	// rankExperts and rankSlots are the shape of the group that "ranks" starts.
	rankExperts = 8
	rankSlots   = 6
)

// cmdRanks is "ranks n=3 entries=2 ranks-args='...'": it starts the key-value
// stand-in (kv), the rank group "g" (ranks), an agent behind a link for each
// rank (agent1, link1, ...), and the entries.
func cmdRanks(ts *testscript.TestScript, neg bool, args []string) {
	f := fleet{dcs: 1, entries: 2, engines: 3, entryArgs: []string{"--plan-interval", "250ms", "--planner-lease", "3s"}}
	var extra []string
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "n":
			f.engines = n
		case "entries":
			f.entries = n
		case "entry-args":
			f.entryArgs = strings.Fields(value)
		case "ranks-args":
			extra = strings.Fields(value)
		default:
			ts.Fatalf("ranks: unknown argument %q", arg)
		}
	}
	kv := startProcess(ts, "kv", "kingcupreel-standin", "kv")
	base := "http://" + kv.Listen["http"]
	f.write(ts, base, &config.ModelGroup{Name: "g", Model: "m", Ranks: f.engines, Experts: rankExperts, SlotsPerRank: rankSlots})
	f.write(ts, base, &config.Operator{Name: "op", TokenSHA256: []string{config.HashToken(operatorToken)}})
	group := startProcess(ts, "ranks", "kingcupreel-standin", append([]string{
		"ranks", "--ranks", strconv.Itoa(f.engines), "--experts", strconv.Itoa(rankExperts), "--slots", strconv.Itoa(rankSlots),
	}, extra...)...)
	for n := 1; n <= f.engines; n++ {
		f.rank(ts, base, n, "http://"+group.Listen["http"])
	}
	for n := 1; n <= f.entries; n++ {
		f.entry(ts, base, n)
	}
}

// rank starts the agent of a rank behind a link; "startagent N" starts it anew
// at the same address.
func (f *fleet) rank(ts *testscript.TestScript, base string, n int, group string) {
	args := agentOfRank(n, group, "127.0.0.1:0")
	agent := startProcess(ts, fmt.Sprintf("agent%d", n), "kingcupreeld", args...)
	link := startProcess(ts, fmt.Sprintf("link%d", n), "kingcupreel-standin", "link", "--to", agent.Listen["inner"])
	u := &config.Upstream{Name: fmt.Sprintf("rank%d", n), VM: fmt.Sprintf("vm-rank%d", n), DataCentre: "dc1", Group: "g", Rank: n - 1, Address: link.Listen["link"]}
	f.write(ts, base, u)
	f.vm(ts, base, kvstore.VM{ID: u.VM, DataCentre: "dc1", Role: "upstream", Address: u.Address, State: kvstore.VMLive})
}

func agentOfRank(n int, group, listen string) []string {
	return []string{
		"agent", "--process", fmt.Sprintf("agent%d", n), "--vm", fmt.Sprintf("vm-rank%d", n), "--data-centre", "dc1",
		"--upstream", fmt.Sprintf("rank%d", n), "--target", fmt.Sprintf("%s/rank/%d", group, n-1), "--inner-listen", listen,
	}
}

// cmdStartAgent is "startagent N": it starts the agent of a rank again after
// its end, at its old address.
func cmdStartAgent(ts *testscript.TestScript, neg bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	name := fmt.Sprintf("agent%d", n)
	<-table(ts).get(ts, name).done
	startProcess(ts, name, "kingcupreeld", agentOfRank(n, "http://"+ts.Getenv("ranks_http"), ts.Getenv(name+"_inner"))...)
}

// cmdLeader is "leader GROUP": it waits until one entry holds the planner's
// lease, and sets LEADER and FOLLOWER to the names of the two entries and
// LEADER_ops and FOLLOWER_ops to their operator addresses.
func cmdLeader(ts *testscript.TestScript, neg bool, args []string) {
	for range int(conditionLimit / conditionPoll) {
		for n := 1; n <= 2; n++ {
			plans, err := plansAt("http://" + ts.Getenv(fmt.Sprintf("entry%d_ops", n)))
			if err == nil && slices.ContainsFunc(plans.Plans, func(p opapi.Plan) bool { return p.Group == args[0] && p.IsLeader }) {
				ts.Setenv("LEADER", fmt.Sprintf("entry%d", n))
				ts.Setenv("LEADER_ops", ts.Getenv(fmt.Sprintf("entry%d_ops", n)))
				ts.Setenv("FOLLOWER", fmt.Sprintf("entry%d", 3-n))
				ts.Setenv("FOLLOWER_ops", ts.Getenv(fmt.Sprintf("entry%d_ops", 3-n)))
				return
			}
		}
		pollPause()
	}
	ts.Fatalf("no entry plans for %s", args[0])
}

// plansAt asks the entry at an operator address for its plans.
func plansAt(base string) (opapi.Plans, error) {
	var plans opapi.Plans
	client := ctl.Client{Base: base, Token: operatorToken}
	answer, err := client.Plan(context.Background())
	if err != nil {
		return plans, err
	}
	return plans, json.Unmarshal(answer, &plans)
}

// checkMaps judges a rank group's record: it fails when two ranks ran a step
// under different maps, or an order took effect at a rank after one with a
// higher fencing number. It prints the number of maps in use, and of the steps
// that are complete.
func checkMaps(urls []string) error {
	var record ranks.Record
	if err := fetch(urls[0]+"/admin/record", &record); err != nil {
		return err
	}
	versions := map[[2]int64]int64{}
	seen := map[int64]bool{}
	var last, lastVersion int64
	for _, s := range record.Steps {
		key := [2]int64{s.Round, s.Step}
		if other, ok := versions[key]; ok && other != s.Version {
			return fmt.Errorf("round %d step %d ran under maps %d and %d", s.Round, s.Step, s.Version, other)
		}
		versions[key] = s.Version
		seen[s.Version] = true
		if s.Step >= last {
			last, lastVersion = s.Step, s.Version
		}
	}
	highest := map[int]int64{}
	fences := map[int64]bool{}
	for _, e := range record.Effects {
		if e.Fence < highest[e.Rank] {
			return fmt.Errorf("rank %d obeyed %s with fencing number %d after %d", e.Rank, e.Order, e.Fence, highest[e.Rank])
		}
		highest[e.Rank] = e.Fence
		fences[e.Fence] = true
	}
	out, err := json.Marshal(map[string]any{"maps": len(seen), "completed": record.Completed, "planners": len(fences), "first_map": lastVersion == 0})
	fmt.Println(string(out))
	return err
}

// checkMoving fails unless the group completes steps.
func checkMoving(urls []string) error {
	var before, after ranks.Record
	if err := fetch(urls[0]+"/admin/record", &before); err != nil {
		return err
	}
	for range 40 {
		pollPause()
		if err := fetch(urls[0]+"/admin/record", &after); err != nil {
			return err
		}
		if after.Completed > before.Completed {
			fmt.Println("moving")
			return nil
		}
	}
	fmt.Println("standing")
	return nil
}

// balancedSkew is the skew under which "check balance" calls a group balanced.
const balancedSkew = 0.1

// checkBalance is "check balance RANKS N": it prints whether the ranks' loads
// are balanced, by what the N ranks report.
func checkBalance(args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	loads := make([]float64, n)
	for r := range loads {
		var s engineapi.MapStatus
		if err := fetch(fmt.Sprintf("%s/rank/%d%s", args[0], r, engineapi.PathMapStatus), &s); err != nil {
			return err
		}
		for _, t := range s.Tokens {
			loads[r] += t
		}
	}
	if planner.Skew(loads) < balancedSkew {
		fmt.Println("balanced")
		return nil
	}
	fmt.Printf("skewed by %.3f\n", planner.Skew(loads))
	return nil
}

// checkGap is "check gap RANKS": it prints how long the group's first switch
// lasted, from the last step under the old map to the first under the new one,
// beside the median time of a step.
func checkGap(urls []string) error {
	var record ranks.Record
	if err := fetch(urls[0]+"/admin/record", &record); err != nil {
		return err
	}
	var began []ranks.Step
	for _, s := range record.Steps {
		if s.Rank == 0 {
			began = append(began, s)
		}
	}
	var gaps []int64
	first := int64(-1)
	for i := 1; i < len(began); i++ {
		gap := began[i].Micros - began[i-1].Micros
		gaps = append(gaps, gap)
		if first < 0 && began[i].Version != began[i-1].Version {
			first = gap
		}
	}
	if first < 0 {
		return fmt.Errorf("no switch in %d steps", len(began))
	}
	slices.Sort(gaps)
	fmt.Printf("switch=%.1fms step=%.1fms\n", float64(first)/1000, float64(gaps[len(gaps)/2])/1000)
	return nil
}
