package scenario

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	v2 "github.com/kingcupreel/kingcupreel/internal/config/v2"
	"github.com/kingcupreel/kingcupreel/internal/ctl"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/standin/kv"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
	"github.com/kingcupreel/kingcupreel/platform"
)

// checkAgree implements "check agree OPS_URL...": it prints each entry's
// revision and a hash of its records, and fails unless they are the same at all
// entries.
func checkAgree(urls []string) error {
	states := map[string]bool{}
	for _, url := range urls {
		client := ctl.Client{BaseURL: url, Token: operatorToken}
		list, err := client.Config(context.Background())
		if err != nil {
			return err
		}
		h := sha256.New()
		for _, r := range list.Records {
			fmt.Fprintf(h, "%s %d %s\n", r.Key, r.Revision, r.Record)
		}
		state := fmt.Sprintf("revision=%d records=%d hash=%.12x", list.Revision, len(list.Records), h.Sum(nil))
		fmt.Println(state)
		states[state] = true
	}
	if len(states) != 1 {
		return fmt.Errorf("the entries differ")
	}
	return nil
}

// checkStore implements "check store KV_URL KEY VALUE [EXPECT]": it writes a
// key directly to the key-value stand-in, as another tool would.
func checkStore(args []string) error {
	p := kvstore.Put{Key: args[1], Value: []byte(args[2]), Expect: kvstore.AnyRevision}
	if len(args) > 3 {
		expect, err := strconv.ParseInt(args[3], 10, 64)
		if err != nil {
			return err
		}
		p.Expect = expect
	}
	_, err := platform.NewStore(args[0], platform.DefaultStoreTimeout).Put(context.Background(), p)
	return err
}

// checkStats implements "check stats KV_URL": it prints the calls that the
// key-value stand-in counted.
func checkStats(args []string) error {
	var s kv.Stats
	if err := fetch(args[0]+"/admin/stats", &s); err != nil {
		return err
	}
	fmt.Printf("reads=%d writes=%d watches=%d vm_lists=%d\n", s.Reads, s.Writes, s.Watches, s.VMLists)
	return nil
}

// checkConfigCalls implements "check config-calls KV_URL CHANGES OPS_URL...":
// it writes a record CHANGES times, waits each time until it is in force at
// every entry, and prints the number of key-value calls per change.
func checkConfigCalls(args []string) error {
	changes, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	var before, after kv.Stats
	if err := fetch(args[0]+"/admin/stats", &before); err != nil {
		return err
	}
	for n := range changes {
		value := fmt.Sprintf(`{"schemaVersion":2,"kind":"plain-service","name":"s","spec":{"nonIdempotent":[{"method":"POST","pathPrefix":"/%d"}]}}`, n)
		if err := checkStore([]string{args[0], "config/plain-service/s", value}); err != nil {
			return err
		}
		if err := waitForRecord(args[2:], "config/plain-service/s", value); err != nil {
			return err
		}
	}
	if err := fetch(args[0]+"/admin/stats", &after); err != nil {
		return err
	}
	calls := after.Reads + after.Watches + after.Writes - before.Reads - before.Watches - before.Writes
	fmt.Printf("calls_per_change=%.1f reads=%d watches=%d writes=%d\n", float64(calls)/float64(changes),
		after.Reads-before.Reads, after.Watches-before.Watches, after.Writes-before.Writes)
	return nil
}

// waitForRecord waits until the record is in force at every entry.
func waitForRecord(urls []string, key, value string) error {
	for _, url := range urls {
		for deadline := time.Now().Add(conditionTimeout); !hasRecord(url, key, value); time.Sleep(conditionPollInterval) {
			if time.Now().After(deadline) {
				return fmt.Errorf("the record did not come into force at %s", url)
			}
		}
	}
	return nil
}

// hasRecord reports whether the record is in force at an entry.
func hasRecord(url, key, value string) bool {
	client := ctl.Client{BaseURL: url, Token: operatorToken}
	list, err := client.Config(context.Background())
	return err == nil && slices.ContainsFunc(list.Records, func(r opapi.ConfigRecord) bool {
		return r.Key == key && string(r.Record) == value
	})
}

// checkRace implements "check race OPS_URL OPS_URL": two operators write the
// expert plan "g" 20 times each, the first in schema version 1, the second in
// version 2. Each write of the second adds 1 to a field that only version 2
// has. It prints the number of writes that were lost.
func checkRace(urls []string) error {
	const writes = 20
	key := config.Key{Kind: config.KindExpertPlan, Name: "g"}
	var wg sync.WaitGroup
	errs := make([]error, len(urls))
	for i, url := range urls {
		client := ctl.Client{BaseURL: url, Token: operatorToken}
		wg.Go(func() {
			for n := 0; n < writes && errs[i] == nil; n++ {
				errs[i] = raceWrite(client, key, i == 0, n)
			}
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	client := ctl.Client{BaseURL: urls[0], Token: operatorToken}
	plan, _, err := readPlan(client, key)
	if err != nil {
		return err
	}
	fmt.Printf("writes=%d lost=%d\n", 2*writes, writes-int(plan.BudgetBytes))
	return nil
}

// raceWrite changes the plan, and retries while the write conflicts with
// another one.
func raceWrite(client ctl.Client, key config.Key, schema1 bool, n int) error {
	for {
		plan, revision, err := readPlan(client, key)
		if err != nil {
			return err
		}
		record := []byte(fmt.Sprintf(`{"version":1,"type":"placement","id":"g","profile":%q}`, []string{"teranga", "tocka"}[n%2]))
		if !schema1 {
			plan.BudgetBytes++
			if record, err = v2.Encode(plan); err != nil {
				return err
			}
		}
		_, err = client.Put(context.Background(), key, record, revision)
		if fault.KindOf(err) != fault.Conflict {
			return err
		}
	}
}

func readPlan(client ctl.Client, key config.Key) (*config.ExpertPlan, int64, error) {
	r, err := client.Record(context.Background(), key)
	if err != nil {
		return nil, 0, err
	}
	obj, err := codec.DecodeAny(r.Record)
	if err != nil {
		return nil, 0, err
	}
	return obj.(*config.ExpertPlan), r.Revision, nil
}

// checkReplace implements "check replace FILE OLD NEW": it replaces a text in a
// file.
func checkReplace(args []string) error {
	data, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	if !bytes.Contains(data, []byte(args[1])) {
		return fmt.Errorf("%s does not contain %q", args[0], args[1])
	}
	return os.WriteFile(args[0], bytes.ReplaceAll(data, []byte(args[1]), []byte(args[2])), 0o644)
}

// checkCausal implements "check causal OPS_URL": it fails unless the timeline
// shows each request's admission, dispatch, start, end and answer in that
// order.
func checkCausal(urls []string) error {
	client := ctl.Client{BaseURL: urls[0], Token: operatorToken}
	tl, err := client.Timeline(context.Background())
	if err != nil {
		return err
	}
	order := []timeline.Kind{timeline.Admitted, timeline.Dispatched, timeline.AttemptStarted, timeline.AttemptEnded, timeline.Answered}
	progress := map[string]int{}
	for _, e := range tl.Events {
		position := slices.Index(order, e.Kind)
		if e.Request == "" || position < 0 {
			continue
		}
		if progress[e.Request] != position {
			return fmt.Errorf("request %s: %s after %d earlier events", e.Request, e.Kind, progress[e.Request])
		}
		progress[e.Request]++
	}
	fmt.Printf("requests=%d ordered\n", len(progress))
	return nil
}

// checkWatchers implements "check watchers DATA_CENTRE VM...": it prints which
// of the VMs watch the key-value service for the data centre.
func checkWatchers(args []string) error {
	var vms []kvstore.VM
	for _, id := range args[1:] {
		vms = append(vms, kvstore.VM{ID: id, DataCentre: args[0], Role: membership.RoleEntry, State: kvstore.VMLive})
	}
	watchers := membership.Watchers(vms, args[0])
	slices.Sort(watchers)
	fmt.Println(strings.Join(watchers, " "))
	return nil
}
