package harness

import (
	"os/exec"
	"runtime"
	"sync"
)

type spawnRequest struct {
	command *exec.Cmd
	result  chan error
}

var spawnRequests = sync.OnceValue(func() chan<- spawnRequest {
	requests := make(chan spawnRequest)
	go spawn(requests)
	return requests
})

// spawn starts processes on one thread that lives as long as the program: the
// kernel sends a child's parent-death signal when the thread that made it ends.
func spawn(requests <-chan spawnRequest) {
	runtime.LockOSThread()
	for r := range requests {
		r.result <- r.command.Start()
	}
}

func startOnLockedThread(command *exec.Cmd) error {
	result := make(chan error, 1)
	spawnRequests() <- spawnRequest{
		command: command,
		result:  result,
	}
	return <-result
}
