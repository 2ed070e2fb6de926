Feature: Connections to an upstream are few, stay open and are known to work

  Background:
    Given a pool of at most 3 connections

  Scenario: A request takes the connection that answered last
    When connections 1 and 2 are taken and given back in that order
    Then a request takes connection 2

  Scenario: A load query takes the connection that was idle for longest
    When connections 1 and 2 are taken and given back in that order
    Then a load query takes connection 1

  Scenario: No more connections are opened than allowed
    When 3 connections are taken
    Then a request takes no connection

  Scenario: A connection that was given up is never taken again
    When connections 1 and 2 are taken and given back in that order
    And connection 2 is given up
    Then a request takes connection 1

  Scenario: A worker that answers load queries late keeps its connections
    Given a balancer on the platform
    And a configuration
    And workers "w1"
    When worker "w1" answers load queries after 200 ms
    And 20 look-ups are sent, one each 50 ms
    Then worker "w1" saw at most 3 connections

  Scenario: A worker that refuses connections isn't asked for its load with each request
    Given a balancer on the platform
    And a configuration
    And workers "w1, w2"
    When worker "w1" resets each connection
    And 30 look-ups are sent, one each 20 ms
    Then worker "w1" saw at most 4 connections
    And the workers got 30 requests in all

  # Guards against a warm upstream that is in doubt whenever an idle connection to it is closed.
  Scenario: An idle connection that this entry closes itself is not lost
    Given an upstream that keeps idle connections for 2 s
    When a connection to it has answered a request
    Then the connection is closed
    And no connection counts as lost

  # Guards against a lost connection that is taken for one that this entry closed.
  Scenario: An idle connection that the upstream resets is lost
    Given an upstream that keeps idle connections for 60 s
    When a connection to it has answered a request
    And the upstream resets its connections
    Then the connection is closed
    And 1 connection counts as lost
