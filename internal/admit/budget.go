package admit

// The limits of the extra requests that the entry may send.
const (
	// RetryShare is the ratio of retries to requests.
	RetryShare = 0.10
	// HedgeShare is the ratio of hedges to requests.
	HedgeShare = 0.05
	// budgetBurst is the capacity of a budget, in extra requests.
	budgetBurst = 20
)

// Budget is a token bucket: each request adds a fraction of a token, and each
// extra request takes one token.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a full budget; each request adds share tokens.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, tokens: budgetBurst}
}

// Deposit adds the share of one request, up to the capacity.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.share, budgetBurst) }

// Withdraw takes one token and reports whether there was one.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
