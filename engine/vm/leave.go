package vm

import (
	"context"
	"sync"
	"time"

	"amaranthdock.dev/timer"
)

const (
	// workGraceShare is the fraction of the grace period in which open transactions may finish
	// and callers' new statements still start. A statement that started later might not end
	// in time.
	workGraceShare = 0.5
	// idleGraceShare is the fraction of the grace period over which the closing of idle
	// sessions is spread.
	idleGraceShare = 0.3
	// finalDrainTime is the time over which connections are closed that were accepted while the
	// last ones ended.
	finalDrainTime = 200 * time.Millisecond
	// exitMargin is how long before the end of the grace period the process ends.
	exitMargin = 500 * time.Millisecond
	// responseMargin is how long before the end of the process the statements that still run
	// are ended, so that their callers get a final response.
	responseMargin = 200 * time.Millisecond
)

// leave announces that this VM takes no new work and deregisters it, so that other VMs
// take over as homes and leader. In the first part of the grace period its callers' open work
// and the transactions of other VMs go on. Then only statements that have started finish, and
// those that run until shortly before the end get a final response without their result.
func (v *VM) leave(running context.Context, deregister func(), deregistration *sync.WaitGroup) {
	v.config.Log.Info("Leaving.", "connections", v.connections.Count(), "transactions", v.home.OpenTransactions())
	grace := time.Duration(v.grace.Load())
	v.leaving.Store(true)
	v.gossip.MarkLeaving()
	v.gossip.AnnounceLeaving(running)
	deregister()
	workTime := time.Duration(workGraceShare * float64(grace))
	untilExit, cancel := timer.WithTimeout(running, v.config.Timer, max(grace-exitMargin, workTime))
	defer cancel()
	untilStatementsEnd, cancelStatements := timer.WithTimeout(running, v.config.Timer, max(grace-exitMargin-responseMargin, workTime))
	defer cancelStatements()
	untilWorkEnds, cancelWork := timer.WithTimeout(running, v.config.Timer, workTime)
	defer cancelWork()
	cancelStopWork := context.AfterFunc(untilWorkEnds, v.stopWork)
	defer cancelStopWork()
	var pendingWork sync.WaitGroup
	pendingWork.Go(func() { v.connections.Drain(untilStatementsEnd, time.Duration(idleGraceShare*float64(grace))) })
	pendingWork.Go(func() { v.home.AwaitIdle(untilStatementsEnd) })
	pendingWork.Wait()
	deregistration.Wait()
	// Connections that were accepted since the others ended are served, too.
	v.connections.StopAccepting()
	v.connections.Drain(untilStatementsEnd, finalDrainTime)
	v.connections.EndStatements()
	v.home.EndStatements()
	v.connections.Drain(untilExit, finalDrainTime)
	v.connections.CloseAll()
	v.config.Log.Info("Stopped.", "connections", v.connections.Count(), "transactions", v.home.OpenTransactions())
}

// stopWork refuses the new work of callers and ends the open transactions, those of this VM's
// callers and those at endpoints whose home this VM is.
func (v *VM) stopWork() {
	v.config.Log.Info("Refusing new work.", "connections", v.connections.Count(), "transactions", v.home.OpenTransactions())
	v.sessions.StopWork()
	v.connections.SetCloseIdle(true)
	v.home.EndTransactions()
}
