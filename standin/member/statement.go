package member

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
)

// result is the result of a statement.
type result struct {
	rows     [][]string
	affected int64
}

// command implements one command of the member.
type command struct {
	arity int
	write bool
	run   func(t *transaction, arguments []string) (result, error)
}

// commands are the commands of the member. Their arguments are:
// add KEY NUMBER, count PREFIX, get KEY, insert KEY VALUE, put KEY VALUE,
// scan PREFIX LIMIT, sleep DURATION.
var commands = map[string]command{
	"add": {
		arity: 2,
		write: true,
		run:   runAdd,
	},
	"count": {
		arity: 1,
		run:   runCount,
	},
	"get": {
		arity: 1,
		run:   runGet,
	},
	"insert": {
		arity: 2,
		write: true,
		run:   runInsert,
	},
	"put": {
		arity: 2,
		write: true,
		run:   runPut,
	},
	"scan": {
		arity: 2,
		run:   runScan,
	},
	"sleep": {
		arity: 1,
		run:   runSleep,
	},
}

// findCommand returns the command of a statement and checks the number of arguments.
func findCommand(statement *callerv1.Statement) (command, error) {
	c, ok := commands[statement.GetCommand()]
	if !ok {
		return command{}, eris.Errorf("unknown command %q", statement.GetCommand())
	}
	if got := len(statement.GetArguments()); got != c.arity {
		return command{}, eris.Errorf("command %q takes %d arguments, got %d", statement.GetCommand(), c.arity, got)
	}
	return c, nil
}

// sleepTime returns the duration of a sleep statement; 0 for other statements.
func sleepTime(statement *callerv1.Statement) time.Duration {
	if statement.GetCommand() != "sleep" || len(statement.GetArguments()) != 1 {
		return 0
	}
	duration, err := time.ParseDuration(statement.GetArguments()[0])
	if err != nil {
		return 0
	}
	return duration
}

func runAdd(t *transaction, arguments []string) (result, error) {
	number, err := strconv.ParseInt(arguments[1], 10, 64)
	if err != nil {
		return result{}, eris.Errorf("%q is not a number", arguments[1])
	}
	value, ok := t.get(arguments[0])
	if ok {
		old, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return result{}, eris.Errorf("the value of key %q is not a number", arguments[0])
		}
		number += old
	}
	sum := strconv.FormatInt(number, 10)
	t.put(arguments[0], sum)
	return result{
		rows:     [][]string{{sum}},
		affected: 1,
	}, nil
}

func runCount(t *transaction, arguments []string) (result, error) {
	count := len(t.scan(arguments[0], 0))
	return result{rows: [][]string{{strconv.Itoa(count)}}}, nil
}

func runGet(t *transaction, arguments []string) (result, error) {
	value, ok := t.get(arguments[0])
	if !ok {
		return result{}, nil
	}
	return result{rows: [][]string{{value}}}, nil
}

func runInsert(t *transaction, arguments []string) (result, error) {
	if _, ok := t.get(arguments[0]); ok {
		return result{}, eris.Errorf("key %q already exists", arguments[0])
	}
	return runPut(t, arguments)
}

func runPut(t *transaction, arguments []string) (result, error) {
	t.put(arguments[0], arguments[1])
	return result{affected: 1}, nil
}

func runScan(t *transaction, arguments []string) (result, error) {
	limit, err := strconv.Atoi(arguments[1])
	if err != nil || limit <= 0 {
		return result{}, eris.Errorf("%q is not a positive limit", arguments[1])
	}
	return result{rows: t.scan(arguments[0], limit)}, nil
}

func runSleep(_ *transaction, arguments []string) (result, error) {
	if _, err := time.ParseDuration(arguments[0]); err != nil {
		return result{}, eris.Errorf("%q is not a duration", arguments[0])
	}
	return result{}, nil
}
