# Adds a doctest program. Each suite in SUITES is named after the guarantee that
# it checks and becomes a CTest test with that label. The cases outside of these
# suites run as one more CTest test. LOCK names a CTest resource lock.
function(monsoon_test Name)
  cmake_parse_arguments(Arg "" "LOCK" "SOURCES;LINK;SUITES" ${ARGN})
  add_executable(${Name} ${Arg_SOURCES})
  target_link_libraries(${Name} PRIVATE testmain ${Arg_LINK})
  foreach(Suite ${Arg_SUITES})
    add_test(NAME ${Name}.${Suite} COMMAND ${Name} -ts=${Suite})
    # A suite without test cases must fail: doctest itself reports success.
    set_tests_properties(${Name}.${Suite} PROPERTIES
      LABELS ${Suite} RESOURCE_LOCK "${Arg_LOCK}" FAIL_REGULAR_EXPRESSION "test cases: *0 ")
  endforeach()
  string(REPLACE ";" "," Excluded "${Arg_SUITES}")
  if(Excluded)
    add_test(NAME ${Name}.other COMMAND ${Name} -tse=${Excluded})
    set_tests_properties(${Name}.other PROPERTIES RESOURCE_LOCK "${Arg_LOCK}")
  else()
    add_test(NAME ${Name} COMMAND ${Name})
  endif()
endfunction()
