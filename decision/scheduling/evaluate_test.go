package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthdock.dev/decision/scheduling"
)

// TestEvaluate guards against an evaluation that differs from the decision on arrival, and
// against one that changes a later decision of the queue.
func TestEvaluate(t *testing.T) {
	for _, policy := range []scheduling.Policy{scheduling.WeightedFair{}, scheduling.MostUrgentFirst{}} {
		t.Run(fmt.Sprintf("%T", policy), rapid.MakeCheck(func(t *rapid.T) { checkEvaluate(t, policy) }))
	}
}

func checkEvaluate(t *rapid.T, policy scheduling.Policy) {
	config := scheduling.Config{
		Policy:  policy,
		Slots:   rapid.IntRange(1, 3).Draw(t, "slots"),
		MaxWait: time.Duration(rapid.IntRange(0, 40).Draw(t, "maxWait")) * time.Millisecond,
	}
	evaluated, reference := scheduling.New(config), scheduling.New(config)
	now := time.Unix(0, 0)
	var running []uint64
	for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
		now = now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "elapsed")) * time.Millisecond)
		item := drawItem(t, id, now)
		decision, _ := evaluated.Evaluate(now, item)
		if arrived := evaluated.Enqueue(now, item); decision != arrived {
			t.Fatalf("evaluated %#v, arrived %#v", decision, arrived)
		}
		reference.Enqueue(now, item)
		evaluated.Evaluate(now, drawItem(t, id+1000, now))
		for {
			next, expected := evaluated.Next(now), reference.Next(now)
			if next != expected {
				t.Fatalf("with evaluations %#v, without %#v", next, expected)
			}
			if _, ok := next.(scheduling.Idle); ok {
				break
			}
			if run, ok := next.(scheduling.Run); ok {
				running = append(running, run.Item.ID)
			}
		}
		if len(running) > 0 && rapid.Bool().Draw(t, "complete") {
			evaluated.Complete(now, running[0])
			reference.Complete(now, running[0])
			running = running[1:]
		}
	}
}

func drawItem(t *rapid.T, id uint64, now time.Time) scheduling.Item {
	return scheduling.Item{
		ID:          id,
		Subject:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "subject"),
		Weight:      rapid.IntRange(1, 3).Draw(t, "weight"),
		ArrivedAt:   now,
		Deadline:    now.Add(time.Duration(rapid.IntRange(5, 200).Draw(t, "timeout")) * time.Millisecond),
		Transaction: rapid.Bool().Draw(t, "transaction"),
		Priority:    rapid.IntRange(0, 2).Draw(t, "priority"),
	}
}
