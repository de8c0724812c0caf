package document

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Change is one difference between two documents and its effect.
type Change struct {
	Key  string `json:"key"`
	Old  string `json:"old"`
	New  string `json:"new"`
	Text string `json:"effect"`
}

// Effect describes the effects of replacing old by new, in the order of the
// reference. A nil old is a new service. Differences in the text only, such as
// comments, have no effect.
func Effect(old, new *Document) []Change {
	e := &effects{}
	if old == nil {
		e.add("service", "", new.Service, "service %s of team %s is new; its work is accepted from then on", new.Service, new.Team)
		old = &Document{Weights: Weights{Tail: defaultWeight, Evictions: defaultWeight}, UTCOffset: new.UTCOffset}
	}
	e.dataCentres(old, new)
	e.accountCodes(old, new)
	e.utcOffset(old, new)
	e.quota(old.Quota, new.Quota)
	e.weights(old.Weights, new.Weights)
	e.urgent(old.Urgent, new.Urgent)
	e.deadlineKinds(old, new)
	e.longRunningKinds(old, new)
	e.neverLose(old, new)
	return e.list
}

const defaultWeight = 0.5

type effects struct {
	list []Change
}

func (e *effects) add(key, old, new, format string, args ...any) {
	e.list = append(e.list, Change{Key: key, Old: old, New: new, Text: fmt.Sprintf(format, args...)})
}

func (e *effects) dataCentres(old, new *Document) {
	if old.Region != new.Region && old.Region != "" {
		e.add("region", old.Region, new.Region, "the service moves from region %s to %s; each region runs on its own log and workers, so jobs of the old region stay there", old.Region, new.Region)
	}
	for _, dc := range missingIn(new.DataCentres, old.DataCentres) {
		e.add("data_centres", dc, "", "nothing new is placed in %s; running tasks stay there until they end or are moved", dc)
	}
	if len(old.DataCentres) == 0 {
		all := strings.Join(new.DataCentres, ", ")
		e.add("data_centres", "", all, "work may be placed in %s, the first one preferred", all)
		return
	}
	for _, dc := range missingIn(old.DataCentres, new.DataCentres) {
		e.add("data_centres", "", dc, "work may also be placed in %s", dc)
	}
	if old.DataCentres[0] != new.DataCentres[0] {
		e.add("data_centres", old.DataCentres[0], new.DataCentres[0], "%s is now the preferred data centre instead of %s", new.DataCentres[0], old.DataCentres[0])
	}
}

func (e *effects) accountCodes(old, new *Document) {
	for _, account := range missingIn(new.AccountCodes, old.AccountCodes) {
		e.add("account_codes", account, "", "account code %s no longer stands for team %s by this service: unless another service of the team lists it, its requests are rejected with RW1003", account, new.Team)
	}
	for _, account := range missingIn(old.AccountCodes, new.AccountCodes) {
		e.add("account_codes", "", account, "account code %s stands for team %s", account, new.Team)
	}
}

func (e *effects) utcOffset(old, new *Document) {
	if old.UTCOffset != new.UTCOffset {
		e.add("utc_offset", old.UTCOffset, new.UTCOffset, "posting deadlines are meant at UTC%s instead of UTC%s; jobs submitted before keep their deadline", new.UTCOffset, old.UTCOffset)
	}
}

func (e *effects) quota(old, new Quota) {
	for _, dim := range amountDims {
		before, after := dim.get(old.Amount), dim.get(new.Amount)
		if before == after {
			continue
		}
		e.add("quota."+dim.key, limitText(before), limitText(after), "%s", quotaEffect(dim, before, after))
	}
	switch {
	case !old.Borrow && new.Borrow:
		e.add("quota.borrow", "false", "true", "the team may use idle capacity up to %d%% above its quota; it is taken back first", new.BorrowPercent)
	case old.Borrow && !new.Borrow:
		e.add("quota.borrow", "true", "false", "the team may no longer exceed its quota; borrowed capacity is taken back")
	case old.Borrow && old.BorrowPercent != new.BorrowPercent:
		e.add("quota.borrow_percent", formatInt(old.BorrowPercent), formatInt(new.BorrowPercent), "the team may borrow up to %d%% of its quota instead of %d%%", new.BorrowPercent, old.BorrowPercent)
	}
}

func quotaEffect(dim amountDim, before, after int64) string {
	switch {
	case after == 0:
		return fmt.Sprintf("the team's reservation of %s is no longer limited", dim.unit)
	case before == 0:
		return fmt.Sprintf("the team may reserve at most %d %s without borrowing; more waits or is rejected with RW2002", after, dim.unit)
	case after < before:
		return fmt.Sprintf("the team's quota falls from %d to %d %s: what exceeds it counts as borrowed and is taken back first, or waits", before, after, dim.unit)
	default:
		return fmt.Sprintf("the team's quota rises from %d to %d %s", before, after, dim.unit)
	}
}

func (e *effects) weights(old, new Weights) {
	if old == new {
		return
	}
	text := "placement protects the tail latency more and evicts batch tasks earlier"
	if new.Evictions > old.Evictions {
		text = "placement evicts later and accepts a higher tail latency"
	}
	e.add("weights", weightText(old), weightText(new), "%s", text)
}

func (e *effects) neverLose(old, new *Document) {
	for _, kind := range missingIn(new.NeverLose, old.NeverLose) {
		e.add("never_lose", kind, "", "the loss of a task of %s is reported as a warning only", kind)
	}
	for _, kind := range missingIn(old.NeverLose, new.NeverLose) {
		e.add("never_lose", "", kind, "the loss of a task of %s is reported with the highest severity", kind)
	}
}

// missingIn returns the entries of list that are not in other.
func missingIn(other, list []string) []string {
	var out []string
	for _, entry := range list {
		if !containsString(other, entry) {
			out = append(out, entry)
		}
	}
	return out
}

func limitText(v int64) string {
	if v == 0 {
		return "no limit"
	}
	return formatInt(v)
}

func weightText(w Weights) string {
	return "tail " + formatNumber(w.Tail) + ", evictions " + formatNumber(w.Evictions)
}

func formatInt(v int64) string { return strconv.FormatInt(v, 10) }

// formatDuration formats a duration without its zero parts, for example 1h30m.
func formatDuration(d time.Duration) string {
	text := d.String()
	for _, zero := range []string{"m0s", "h0m"} {
		if len(text) > len(zero) && text[len(text)-len(zero):] == zero {
			text = text[:len(text)-len(zero)+1]
		}
	}
	return text
}
