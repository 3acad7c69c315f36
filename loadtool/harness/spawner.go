package harness

import (
	"os/exec"
	"runtime"
	"sync"
)

type startRequest struct {
	command *exec.Cmd
	result  chan error
}

var startRequests = sync.OnceValue(func() chan<- startRequest {
	requests := make(chan startRequest)
	go startProcesses(requests)
	return requests
})

// startProcesses starts processes on a thread that lives as long as the program, because the
// kernel sends a child's parent-death signal when the thread that started it ends.
func startProcesses(requests <-chan startRequest) {
	runtime.LockOSThread()
	for r := range requests {
		r.result <- r.command.Start()
	}
}

func startOnLockedThread(command *exec.Cmd) error {
	result := make(chan error, 1)
	startRequests() <- startRequest{
		command: command,
		result:  result,
	}
	return <-result
}
