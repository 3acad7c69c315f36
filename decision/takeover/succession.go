package takeover

// maxStepDownLag is how many log entries a successor may lack when the primary of a database
// with synchronous replicas is told to step down. It receives them within milliseconds, unless
// it receives nothing at all.
const maxStepDownLag = 50

// MayStepDown reports whether a draining primary may be told to step down: an endpoint that is
// not draining can take its place, and in a database with synchronous replicas it has received
// nearly the whole log. Otherwise the primary stays, since nothing would be gained.
func MayStepDown(primary Candidate, others []Candidate, syncReplicas int) bool {
	successor, ok := Choose(notDraining(others))
	if !ok || syncReplicas == 0 {
		return ok
	}
	behind := primary.ReceivedPosition
	behind.Index -= min(behind.Index, maxStepDownLag)
	return successor.ReceivedPosition.Term == behind.Term && successor.ReceivedPosition.Covers(behind)
}

// ChooseAfterStepDown returns the successor of a primary that has stepped down; false if there
// is none yet. An endpoint that is draining is no successor. Once the time for catching up is
// over, the one that has received most succeeds, unless synchronous replicas promise that no
// acknowledged commit is lost: then, and if there is no other, the primary leads again. It does
// not if its data centre is evacuated, since it would get no writes.
func ChooseAfterStepDown(primary Candidate, others []Candidate, syncReplicas int, timeOver bool) (Candidate, bool) {
	successor, ok := Choose(notDraining(others))
	switch {
	case ok && successor.ReceivedPosition.Covers(primary.ReceivedPosition):
		return successor, true
	case !timeOver:
		return Candidate{}, false
	case ok && syncReplicas == 0:
		return successor, true
	case primary.Evacuated:
		return Candidate{}, false
	default:
		return primary, true
	}
}

// ChooseAfterLoss returns the successor of a primary that is lost, of the endpoints that
// responded; false if these do not include one with each acknowledged commit. An endpoint that
// is draining succeeds only if no other may: if there is none, or if synchronous replicas
// promise that no acknowledged commit is lost and only it has received the whole log.
func ChooseAfterLoss(responded []Candidate, knownReplicas, syncReplicas int) (Candidate, bool) {
	if !CoversAcknowledgedCommits(len(responded), knownReplicas, syncReplicas) {
		return Candidate{}, false
	}
	most, ok := Choose(responded)
	staying, found := Choose(notDraining(responded))
	if found && (syncReplicas == 0 || staying.ReceivedPosition.Covers(most.ReceivedPosition)) {
		return staying, true
	}
	return most, ok
}

func notDraining(candidates []Candidate) []Candidate {
	var staying []Candidate
	for _, c := range candidates {
		if !c.Draining {
			staying = append(staying, c)
		}
	}
	return staying
}
