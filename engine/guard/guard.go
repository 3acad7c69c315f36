// Package guard keeps a panic of one task, such as the service of one session or one call,
// from ending the process.
package guard

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/timer"
)

// restartDelay is the delay before a loop that ended with a panic is started again.
const restartDelay = 100 * time.Millisecond

// Recover ends a panic of the calling goroutine and logs it. It has to be deferred directly.
func Recover(log logr.Logger, task string) {
	if cause := recover(); cause != nil {
		report(log, task, cause)
	}
}

// RecoverTo is like Recover, and sets an error if the goroutine panicked.
func RecoverTo(log logr.Logger, task string, err *error) {
	if cause := recover(); cause != nil {
		report(log, task, cause)
		*err = eris.New("an unexpected error ended the task " + task)
	}
}

func report(log logr.Logger, task string, cause any) {
	log.Error(eris.New(fmt.Sprint(cause)), "A task ended with a panic.", "task", task, "stack", string(debug.Stack()))
}

// Loop runs a loop until the context ends, and starts it again after a panic.
func Loop(ctx context.Context, service timer.Service, log logr.Logger, task string, loop func(context.Context)) {
	for ctx.Err() == nil {
		if runOnce(ctx, log, task, loop) {
			return
		}
		// The error is that of the context, which the loop checks.
		_ = timer.Sleep(ctx, service, restartDelay)
	}
}

// runOnce runs a loop and reports whether it ended without a panic.
func runOnce(ctx context.Context, log logr.Logger, task string, loop func(context.Context)) (ended bool) {
	defer Recover(log, task)
	loop(ctx)
	return true
}
