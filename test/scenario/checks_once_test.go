package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcupreel/kingcupreel/internal/claim"
	"github.com/kingcupreel/kingcupreel/internal/standin/engine"
	"github.com/kingcupreel/kingcupreel/platform"
)

// checkClaims prints the number of claims in the key-value service and how many
// of them are completed.
func checkClaims(urls []string) error {
	l, err := platform.NewStore(urls[0], platform.DefaultStoreTimeout).List(context.Background(), claim.Prefix)
	if err != nil {
		return err
	}
	completed := 0
	for _, item := range l.Items {
		var r claim.Record
		if err := json.Unmarshal(item.Value, &r); err != nil {
			return err
		}
		if r.Answer != nil {
			completed++
		}
	}
	fmt.Printf("claims=%d completed=%d\n", len(l.Items), completed)
	return nil
}

// cmdRestart implements "restart NAME": it waits until a program has exited and
// starts it again with the same arguments and inner address.
func cmdRestart(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: restart NAME")
	}
	old := processesOf(ts).get(ts, args[0])
	<-old.exited
	again := slices.Clone(old.args)
	if !slices.Contains(again, "--inner-listen") {
		again = append(again, "--inner-listen", ts.Getenv(args[0]+"_inner"))
	}
	startProcess(ts, args[0], old.program, again...)
}

// checkCrashes prints the total number of crashes of the engines.
func checkCrashes(urls []string) error {
	total := 0
	for _, url := range urls {
		var c engine.Crashes
		if err := fetch(url+"/admin/crashes", &c); err != nil {
			return err
		}
		total += c.Crashes
	}
	fmt.Printf("crashes=%d\n", total)
	return nil
}
