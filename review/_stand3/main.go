package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(record string){"memory": caseMemory, "poison": casePoison, "reborn": caseReborn}
	if len(os.Args) == 4 && os.Args[1] == "replica" {
		runReplica(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(notRun)
	}
	cases[os.Args[1]](os.Args[2])
}
