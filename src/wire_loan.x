/* Messages between routers about loans of prepaid tokens, one per datagram.
   Datagrams may be lost, repeated and reordered. */

const LOAN_NAME_BYTES = 255;
const LOAN_DATAGRAM_BYTES = 1200;
const LOAN_VERSION = 1;

enum loan_kind
{
  /* To the lender. */
  LOAN_ASK = 1,
  LOAN_SETTLE = 2,
  /* To the borrower. */
  LOAN_GRANTED = 3,
  /* The lender has asked control for tokens; another message follows. */
  LOAN_WAITS = 4,
  /* The account's unspent tokens don't cover the request. */
  LOAN_EXHAUSTED = 5,
  /* The lender can't lend; the borrower asks control itself. */
  LOAN_DECLINED = 6,
  LOAN_SETTLED = 7
};

/* Borrower, its incarnation and the number name the loan. */
struct loan_message
{
  unsigned int protocol;
  string cluster<LOAN_NAME_BYTES>;
  loan_kind kind;
  string borrower<LOAN_NAME_BYTES>;
  unsigned hyper incarnation;
  unsigned hyper number;
  string account<LOAN_NAME_BYTES>;
  /* Of LOAN_ASK: the tokens to lend; of LOAN_SETTLE: the tokens that were
     used. */
  unsigned hyper tokens;
};
