// Command _stand2 runs one case of the second review: the project's programs as separate
// processes, with stand-ins of the platform's store, the replicas and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases holds the cases by name. Each returns an exit code. trouble is false if the case runs
// without the disruption.
var cases = map[string]func(d *deployment, trouble bool) (int, error){
	"reborn-behind-cut": rebornBehindCut,
	"long-prompt":       longPrompt,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: stand2 CASE DIRECTORY")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, dir string) int {
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer d.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", name, trouble)
	code, err := cases[name](d, trouble)
	if err == nil && !d.alive() {
		err = fmt.Errorf("a process of the project has ended by itself")
		code = broken
	}
	if err != nil {
		rec.add("error: %v", err)
		if code == held {
			code = cannotRun
		}
	}
	rec.add("exit code %d after %s", code, rec.now().Round(time.Millisecond))
	fmt.Printf("%s: exit code %d (0 held, 1 broken, 2 couldn't run)\n", name, code)
	return code
}
