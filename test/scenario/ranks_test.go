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
	// rankExperts is the number of experts, rankSlots the number of expert
	// slots per rank of the group that "ranks" starts.
	rankExperts = 8
	rankSlots   = 6
)

// cmdRanks implements "ranks n=3 entries=2 entry-args='...' ranks-args='...'".
// It starts the key-value stand-in (kv), the rank group "g" (ranks), an agent
// behind a link for each rank (agent1, link1, ...), and the entries.
func cmdRanks(ts *testscript.TestScript, neg bool, args []string) {
	f := fleet{dataCentres: 1, entries: 2, engines: 3, entryArgs: []string{"--plan-interval", "250ms", "--planner-lease", "3s"}}
	var ranksArgs []string
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
			ranksArgs = strings.Fields(value)
		default:
			ts.Fatalf("ranks: unknown argument %q", arg)
		}
	}
	kv := startProcess(ts, "kv", "kingcupreel-standin", "kv")
	base := "http://" + kv.Listen["http"]
	f.writeRecord(ts, base, &config.ModelGroup{Name: "g", Model: "m", Ranks: f.engines, Experts: rankExperts, SlotsPerRank: rankSlots})
	f.writeRecord(ts, base, &config.Operator{Name: "op", TokenSHA256: []string{config.HashToken(operatorToken)}})
	group := startProcess(ts, "ranks", "kingcupreel-standin", append([]string{
		"ranks", "--ranks", strconv.Itoa(f.engines), "--experts", strconv.Itoa(rankExperts), "--slots", strconv.Itoa(rankSlots),
	}, ranksArgs...)...)
	for n := 1; n <= f.engines; n++ {
		f.startRank(ts, base, n, "http://"+group.Listen["http"])
	}
	for n := 1; n <= f.entries; n++ {
		f.startEntry(ts, base, n)
	}
}

// startRank starts the agent of a rank behind a link, and registers the
// upstream and its VM.
func (f *fleet) startRank(ts *testscript.TestScript, base string, n int, groupURL string) {
	args := rankAgentArgs(n, groupURL, "127.0.0.1:0")
	agent := startProcess(ts, fmt.Sprintf("agent%d", n), "kingcupreeld", args...)
	link := startProcess(ts, fmt.Sprintf("link%d", n), "kingcupreel-standin", "link", "--to", agent.Listen["inner"])
	u := &config.Upstream{Name: fmt.Sprintf("rank%d", n), VM: fmt.Sprintf("vm-rank%d", n), DataCentre: "dc1", Group: "g", Rank: n - 1, Address: link.Listen["link"]}
	f.writeRecord(ts, base, u)
	f.vm(ts, base, kvstore.VM{ID: u.VM, DataCentre: "dc1", Role: "upstream", Address: u.Address, State: kvstore.VMLive})
}

func rankAgentArgs(n int, groupURL, listen string) []string {
	return []string{
		"agent", "--process", fmt.Sprintf("agent%d", n), "--vm", fmt.Sprintf("vm-rank%d", n), "--data-centre", "dc1",
		"--upstream", fmt.Sprintf("rank%d", n), "--target", fmt.Sprintf("%s/rank/%d", groupURL, n-1), "--inner-listen", listen,
	}
}

// cmdStartAgent implements "startagent N": it waits until the agent of a rank
// has exited and starts it again at the same address.
func cmdStartAgent(ts *testscript.TestScript, neg bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	name := fmt.Sprintf("agent%d", n)
	<-processesOf(ts).get(ts, name).exited
	startProcess(ts, name, "kingcupreeld", rankAgentArgs(n, "http://"+ts.Getenv("ranks_http"), ts.Getenv(name+"_inner"))...)
}

// cmdLeader implements "leader GROUP": it waits until one of two entries holds
// the planner's lease, and sets LEADER and FOLLOWER to the names of the two
// entries and LEADER_ops and FOLLOWER_ops to their operator addresses.
func cmdLeader(ts *testscript.TestScript, neg bool, args []string) {
	for range int(conditionTimeout / conditionPollInterval) {
		for n := 1; n <= 2; n++ {
			plans, err := fetchPlans("http://" + ts.Getenv(fmt.Sprintf("entry%d_ops", n)))
			if err == nil && slices.ContainsFunc(plans.Plans, func(p opapi.Plan) bool { return p.Group == args[0] && p.IsLeader }) {
				ts.Setenv("LEADER", fmt.Sprintf("entry%d", n))
				ts.Setenv("LEADER_ops", ts.Getenv(fmt.Sprintf("entry%d_ops", n)))
				ts.Setenv("FOLLOWER", fmt.Sprintf("entry%d", 3-n))
				ts.Setenv("FOLLOWER_ops", ts.Getenv(fmt.Sprintf("entry%d_ops", 3-n)))
				return
			}
		}
		sleepPollInterval()
	}
	ts.Fatalf("no entry plans for %s", args[0])
}

// fetchPlans returns the plans of the entry at an operator URL.
func fetchPlans(base string) (opapi.Plans, error) {
	var plans opapi.Plans
	client := ctl.Client{BaseURL: base, Token: operatorToken}
	answer, err := client.Plan(context.Background())
	if err != nil {
		return plans, err
	}
	return plans, json.Unmarshal(answer, &plans)
}

// checkMaps checks a rank group's record. It fails if two ranks ran a step
// under different maps, or if a rank executed an order after one with a higher
// fencing number. It prints the number of maps that were used, of completed
// steps and of planners whose orders were executed, and whether the newest step
// ran under the first map.
func checkMaps(urls []string) error {
	var record ranks.Record
	if err := fetch(urls[0]+"/admin/record", &record); err != nil {
		return err
	}
	versions := map[[2]int64]int64{}
	usedMaps := map[int64]bool{}
	var lastStep, lastVersion int64
	for _, s := range record.Steps {
		key := [2]int64{s.Round, s.Step}
		if other, ok := versions[key]; ok && other != s.Version {
			return fmt.Errorf("round %d step %d ran under maps %d and %d", s.Round, s.Step, s.Version, other)
		}
		versions[key] = s.Version
		usedMaps[s.Version] = true
		if s.Step >= lastStep {
			lastStep, lastVersion = s.Step, s.Version
		}
	}
	highestFence := map[int]int64{}
	fences := map[int64]bool{}
	for _, e := range record.AppliedOrders {
		if e.Fence < highestFence[e.Rank] {
			return fmt.Errorf("rank %d executed %s with fencing number %d after %d", e.Rank, e.Order, e.Fence, highestFence[e.Rank])
		}
		highestFence[e.Rank] = e.Fence
		fences[e.Fence] = true
	}
	out, err := json.Marshal(map[string]any{"maps": len(usedMaps), "completed": record.Completed, "planners": len(fences), "first_map": lastVersion == 0})
	fmt.Println(string(out))
	return err
}

// checkMoving prints "moving" if the group completes a step while it polls, and
// "stalled" otherwise.
func checkMoving(urls []string) error {
	var before, after ranks.Record
	if err := fetch(urls[0]+"/admin/record", &before); err != nil {
		return err
	}
	for range 40 {
		sleepPollInterval()
		if err := fetch(urls[0]+"/admin/record", &after); err != nil {
			return err
		}
		if after.Completed > before.Completed {
			fmt.Println("moving")
			return nil
		}
	}
	fmt.Println("stalled")
	return nil
}

// balancedSkew is the skew below which "check balance" calls a group balanced.
const balancedSkew = 0.1

// checkBalance implements "check balance RANKS N": it prints whether the loads
// that the N ranks report are balanced.
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

// checkGap implements "check gap RANKS": it prints the duration of the group's
// first switch, from the start of the last step under the old map to the start
// of the first step under the new one, and the median time between the starts
// of two steps.
func checkGap(urls []string) error {
	var record ranks.Record
	if err := fetch(urls[0]+"/admin/record", &record); err != nil {
		return err
	}
	var steps []ranks.Step
	for _, s := range record.Steps {
		if s.Rank == 0 {
			steps = append(steps, s)
		}
	}
	var gaps []int64
	switchGap := int64(-1)
	for i := 1; i < len(steps); i++ {
		gap := steps[i].Micros - steps[i-1].Micros
		gaps = append(gaps, gap)
		if switchGap < 0 && steps[i].Version != steps[i-1].Version {
			switchGap = gap
		}
	}
	if switchGap < 0 {
		return fmt.Errorf("no switch in %d steps", len(steps))
	}
	slices.Sort(gaps)
	fmt.Printf("switch=%.1fms step=%.1fms\n", float64(switchGap)/1000, float64(gaps[len(gaps)/2])/1000)
	return nil
}
