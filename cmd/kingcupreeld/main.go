// Command kingcupreeld runs an entry, an agent, a gateway or a rank agent.
package main

import "github.com/kingcupreel/kingcupreel/internal/daemon"

func main() { daemon.Exit() }
