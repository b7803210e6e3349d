// Command kingcupreeld is the daemon: an entry or an agent.
package main

import "github.com/kingcupreel/kingcupreel/internal/daemon"

func main() { daemon.Exit() }
