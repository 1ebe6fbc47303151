Feature: Results stay readable, shard by shard

  Scenario: An interrupted download resumes where it stopped
    Given a gateway that serves 3 shards of results and fails during the second
    When an operator downloads the results twice
    Then the file holds each result once and the first shard was requested once

  Scenario: A download of a running job fetches sealed shards once and the rest later
    Given a gateway whose third shard is sealed only later
    When an operator downloads the results twice
    Then the file holds each result once and the first shard was requested once
