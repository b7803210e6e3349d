package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(record string){"memory": caseMemory, "query": caseQuery, "cascade": caseCascade}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(notRun)
	}
	cases[os.Args[1]](os.Args[2])
}
