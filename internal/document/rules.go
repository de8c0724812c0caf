package document

import (
	"fmt"
	"math"
)

// weightTolerance is the allowed rounding error in the sum of the weights.
const weightTolerance = 0.001

// checkRules checks the rules that involve several keys. A rule is skipped when
// one of its keys already has a problem.
func (c *checker) checkRules(d *Document) {
	c.checkClasses(d)
	c.checkWeights(d)
	c.checkTailTarget(d)
	c.checkAccountCodes(d)
	c.checkKindNames(d)
	c.checkNeverLose(d)
	c.checkTaskAmounts(d)
	c.checkPostingDeadlines(d)
}

func (c *checker) checkClasses(d *Document) {
	if d.Urgent != nil || len(d.Deadline) > 0 || len(d.LongRunning) > 0 {
		return
	}
	if c.valid("urgent", "deadline", "long_running") {
		c.add("", "", "the service uses no class", "add [urgent], [[deadline]] or [[long_running]]")
	}
}

func (c *checker) checkWeights(d *Document) {
	sum := d.Weights.Tail + d.Weights.Evictions
	if !c.valid("weights", "weights.tail", "weights.evictions") || math.Abs(sum-1) <= weightTolerance {
		return
	}
	path := "weights.tail"
	if c.lines[path] == 0 {
		path = "weights.evictions"
	}
	c.add(path, "", "weights.tail + weights.evictions is "+formatNumber(sum), "choose both so that their sum is 1")
}

func (c *checker) checkTailTarget(d *Document) {
	if d.Urgent == nil || !c.valid("urgent.time_limit_ms", "urgent.target_p99_ms") {
		return
	}
	if d.Urgent.TargetP99MS > d.Urgent.TimeLimitMS {
		c.add("urgent.target_p99_ms", formatNumber(float64(d.Urgent.TargetP99MS)), "above urgent.time_limit_ms",
			"use at most "+formatNumber(float64(d.Urgent.TimeLimitMS)))
	}
}

func (c *checker) checkAccountCodes(d *Document) {
	for i, account := range d.AccountCodes {
		if account == d.Team {
			c.add(entryPath("account_codes", i), quoted(account), "this is the team's own name", "remove it; the name always works")
		}
	}
}

func (c *checker) checkKindNames(d *Document) {
	first := make(map[string]string)
	for _, k := range d.kinds() {
		path := k.path + ".kind"
		if k.name == "" || !c.valid(path) {
			continue
		}
		if other, taken := first[k.name]; taken {
			c.add(path, quoted(k.name), "the kind is already used by "+other, "give each kind a name of its own")
			continue
		}
		first[k.name] = path
	}
}

func (c *checker) checkNeverLose(d *Document) {
	declared := make(map[string]bool)
	for _, k := range d.kinds() {
		if k.name == "" {
			return
		}
		declared[k.name] = true
	}
	for i, name := range d.NeverLose {
		path := entryPath("never_lose", i)
		if !declared[name] && c.valid(path, "deadline", "long_running") {
			c.add(path, quoted(name), "no kind of this document has this name", "name a kind of [[deadline]] or [[long_running]]")
		}
	}
}

// checkTaskAmounts rejects kinds whose tasks could never run.
func (c *checker) checkTaskAmounts(d *Document) {
	limit := d.Quota.ceiling()
	for _, k := range d.kinds() {
		task := k.amount.Resources()
		if task.IsZero() && c.validAmount(k.path) {
			c.add(k.path, "", "a task of this kind reserves nothing", "set milli_cpu, memory_mib and slots to what one task needs")
			continue
		}
		for _, dim := range amountDims {
			need, most := dim.get(k.amount), dim.get(limit)
			key := k.path + "." + dim.key
			if dim.get(d.Quota.Amount) == 0 || need <= most || !c.valid(key, "quota."+dim.key, "quota.borrow", "quota.borrow_percent") {
				continue
			}
			c.add(key, formatNumber(float64(need)), "one task needs more than the team may ever reserve",
				fmt.Sprintf("use at most %d, or raise quota.%s", most, dim.key))
		}
	}
}

func (c *checker) validAmount(path string) bool {
	for _, dim := range amountDims {
		if !c.valid(path + "." + dim.key) {
			return false
		}
	}
	return c.valid(path)
}

func (c *checker) checkPostingDeadlines(d *Document) {
	for i, kind := range d.Deadline {
		path := entryPath("deadline", i)
		if kind.PostingDeadline == "" || !c.valid(path+".run_time_s", path+".posting_deadline") {
			continue
		}
		if kind.RunTimeS >= secondsPerDay {
			c.add(path+".posting_deadline", quoted(kind.PostingDeadline), "a run of a day or longer cannot meet a daily deadline",
				"lower run_time_s below 86400, or submit each job with its own deadline")
		}
	}
}
