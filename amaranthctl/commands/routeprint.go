package commands

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
)

// unknownText stands for a value that is not known.
const unknownText = "-"

// printMessage writes a protobuf message as JSON in camelCase.
func (a *app) printMessage(message proto.Message) error {
	return a.printText([]byte(protojson.MarshalOptions{
		Multiline:       true,
		EmitUnpopulated: true,
	}.Format(message) + "\n"))
}

func (a *app) printExplanation(explained *operatorv1.ExplainRouteResponse) error {
	if a.output == outputJSON {
		return a.printMessage(explained)
	}
	lines := append(routeLines(explained), refusalLines(explained)...)
	lines = append(lines, dataLines(explained)...)
	if err := a.printText([]byte(strings.Join(lines, "\n") + "\n\n")); err != nil {
		return err
	}
	var rows [][]string
	for _, candidate := range explained.GetCandidates() {
		rows = append(rows, candidateRow(explained, candidate))
	}
	return a.printResult([]string{"ENDPOINT", "ROLE", "DATA CENTRE", "REASON AGAINST", "REACHABLE", "POSITION", "AGE", "COST",
		"HOME", "HOME ANSWER", "WAIT", "CATCH-UP", "STEPS/SLOTS", "CONNECTIONS", "TRANSACTIONS"}, rows, nil)
}

// routeLines describes the chosen endpoint.
func routeLines(explained *operatorv1.ExplainRouteResponse) []string {
	if explained.GetEndpoint() == "" {
		return []string{fmt.Sprintf("Route from %s: none", explained.GetVm())}
	}
	home := "home"
	if explained.GetFallbackHome() {
		home = "fallback home"
	}
	return []string{
		fmt.Sprintf("Route from %s: %s through its %s %s", explained.GetVm(), explained.GetEndpoint(), home, explained.GetHome()),
		"Expected wait: " + durationText(explained.GetExpectedWait()),
	}
}

// refusalLines describes the refusal of the request.
func refusalLines(explained *operatorv1.ExplainRouteResponse) []string {
	refused := explained.GetRefusal()
	if refused == nil {
		return nil
	}
	line := fmt.Sprintf("Refused: %s (%s), outcome %s, retry after %s", refused.GetReason(), refused.GetMessage(),
		refused.GetOutcome(), durationText(refused.GetRetryAfter()))
	if refused.GetRetried() {
		line += fmt.Sprintf("; tried again until the deadline (%s by default)", durationText(explained.GetDeadline()))
	}
	return []string{line}
}

// dataLines describes the rate limit and the age of the data.
func dataLines(explained *operatorv1.ExplainRouteResponse) []string {
	var lines []string
	if limit := explained.GetRateLimit(); limit != nil {
		line := fmt.Sprintf("Rate limit: %g/s, burst %d, %d tokens at %s", limit.GetRate(), limit.GetBurst(), limit.GetTokens(), explained.GetVm())
		if limit.GetMustWait() {
			line += "; the request waits for a token"
		}
		lines = append(lines, line)
	}
	lines = append(lines, fmt.Sprintf("Data: configuration version %d (authority age %s), view of the database %s old, homes asked now",
		explained.GetConfigurationVersion(), durationText(explained.GetAuthorityAge()), durationText(explained.GetViewAge())))
	if unanswered := explained.GetUnansweredVms(); len(unanswered) > 0 {
		lines = append(lines, "No answer, state unknown: "+strings.Join(unanswered, ", "))
	}
	return lines
}

// candidateRow returns the row of one endpoint. What only its home knows is unknown if the
// home did not answer.
func candidateRow(explained *operatorv1.ExplainRouteResponse, candidate *operatorv1.RouteCandidate) []string {
	reason := candidate.GetReason()
	if reason == "" && candidate.GetEndpoint() == explained.GetEndpoint() {
		reason = "(chosen)"
	}
	position, age := candidate.GetPosition(), candidate.GetAge()
	if candidate.GetHomePosition() != nil {
		// The home's view is newer.
		position, age = candidate.GetHomePosition(), candidate.GetHomeAge()
	}
	row := []string{
		candidate.GetEndpoint(),
		orUnknown(candidate.GetRole()),
		candidate.GetDataCentre(),
		reason,
		fmt.Sprint(candidate.GetReachable()),
		fmt.Sprintf("%d.%d", position.GetTerm(), position.GetIndex()),
		durationText(age),
		durationText(candidate.GetCost()),
		orUnknown(candidate.GetHome()),
	}
	if !candidate.GetHomeAnswered() {
		return append(row, "none", unknownText, unknownText, unknownText, unknownText, unknownText)
	}
	catchUp := durationText(candidate.GetCatchUp())
	if candidate.GetCatchUpLimit() != nil {
		catchUp += " of " + durationText(candidate.GetCatchUpLimit())
	}
	answer := "accepts"
	if candidate.GetHomeReason() != "" {
		answer = candidate.GetHomeReason()
	}
	return append(row,
		answer,
		durationText(candidate.GetExpectedWait()),
		catchUp,
		fmt.Sprintf("%d/%d", candidate.GetSteps(), candidate.GetSlots()),
		fmt.Sprintf("%d/%d", candidate.GetConnections(), candidate.GetConnectionLimit()),
		fmt.Sprintf("%d/%d", candidate.GetTransactions(), candidate.GetTransactionLimit()),
	)
}

func durationText(duration *durationpb.Duration) string {
	if duration == nil {
		return unknownText
	}
	return roundAge(duration.AsDuration()).String()
}

func orUnknown(text string) string {
	if text == "" {
		return unknownText
	}
	return text
}
