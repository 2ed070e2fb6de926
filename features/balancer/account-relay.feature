Feature: Relayed requests carry the name of the account, and never its key

  Background:
    Given 2 balancers on the platform with links of their own
    And client accounts
    And workers "w1, w2"
    And every entry knows the others

  # Guards against relayed requests that lose their account, and against keys in messages between entries.
  Scenario: A request that another entry sends is served on its account
    When the links of entry 1 to all workers are "reset"
    And look-ups with the key "secret-alpha-1" are sent to entry 1 until one is relayed
    Then the worker that got the relayed one got the account "alpha"
    And no key is found in the log, the metrics or at a worker

  # Guards against a key in the message itself, which the entry that gets it would hide.
  Scenario: The message that relays a request holds no key
    Given an announced entry "old" of build "c71b7fa"
    When the links of all entries to all workers are "reset"
    And 1000 ms pass at the site
    And "POST /write/a" is sent with the fields "Wasabidyke-Key: secret-alpha-1 ~ Wasabidyke-Tenant: beta"
    Then "old" was asked to relay
    And the message to "old" names the account "alpha" and holds no key

  # Guards against requests that pass without a key since the entry before knew no accounts.
  Scenario Outline: A relayed request with <account> on <route> is refused as other-configuration
    When a message to relay "<path>" with <account> is sent to entry 1
    Then it is answered 200 as not run for "other-configuration"
    And the workers got 0 requests of it

    Examples:
      | path    | route          | account             |
      | /read/a | a closed route | no account          |
      | /read/a | a closed route | the account "gone"  |
      | /open/a | a public route | the account "gone"  |
      | /read/a | a closed route | a key in its header |

  # Guards against a relayed request that runs by the accounts from before its body, which may take 10 s to arrive.
  Scenario: An account that ends while a relayed request arrives is refused as other-configuration
    Given a message to relay "/read/a" on the account "alpha" of which half has arrived at entry 1
    When the account "alpha" ends
    And the rest of the message arrives
    Then it is answered 200 as not run for "other-configuration"
    And the workers got 0 requests of it

  # Guards against an older entry's message that hands a key to a worker, or names an account by its header.
  Scenario: A key in the message of an older build reaches no worker
    When a message to relay "/open/a" with a key in its header is sent to entry 1
    Then the worker got no account
    And no key is found in the log, the metrics or at a worker

  # Guards against the error of a parser that quotes the records around a fault, and so a key.
  Scenario: What is said of another entry's unreadable records quotes none of them
    When another entry's answer with the record of a key breaks off in its grammar
    Then it is unreadable, and what is said of it quotes nothing of the record
